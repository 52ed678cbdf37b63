package assembler

import (
	"github.com/fuchsiapitch/fuchsiapitch/internal/lister"
	"github.com/fuchsiapitch/fuchsiapitch/internal/orderer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/recorder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/weigher"
)

// Addresses are the network addresses of the platform's services, as IP address
// and port.
type Addresses struct {
	// Log is the address of the log.
	Log string
	// HostList is the address of the host list.
	HostList string
	// WeightStore is the address of the weight store.
	WeightStore string
}

// Connect returns HTTP clients for the external systems and a function that closes
// their connections.
func Connect(addresses Addresses) (Dependencies, func()) {
	logClient, closeLogClient := recorder.New(addresses.Log)
	hostList, closeHostList := lister.New(addresses.HostList)
	weightStore, closeWeightStore := weigher.New(addresses.WeightStore)
	engineControl, closeEngineControl := orderer.New()
	backendClient, closeBackendClient := sender.New()
	closeAll := func() {
		closeBackendClient()
		closeEngineControl()
		closeWeightStore()
		closeHostList()
		closeLogClient()
	}
	return Dependencies{Log: logClient, HostList: hostList, WeightStore: weightStore, EngineControl: engineControl, BackendClient: backendClient}, closeAll
}
