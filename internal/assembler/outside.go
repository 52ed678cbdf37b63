package assembler

import (
	"github.com/fuchsiapitch/fuchsiapitch/internal/lister"
	"github.com/fuchsiapitch/fuchsiapitch/internal/orderer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/recorder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/weigher"
)

// Addresses are the IP numbers and ports of the platform's services.
type Addresses struct {
	// Log is the address of the log.
	Log string
	// HostList is the address of the host list.
	HostList string
	// WeightStore is the address of the weight store.
	WeightStore string
}

// Connect returns the outside systems at their addresses, over HTTP, and the
// function that closes the connections.
func Connect(addresses Addresses) (Outside, func()) {
	log, closeLog := recorder.New(addresses.Log)
	hosts, closeHosts := lister.New(addresses.HostList)
	weights, closeWeights := weigher.New(addresses.WeightStore)
	controls, closeControls := orderer.New()
	caller, closeCaller := sender.New()
	closeAll := func() {
		closeCaller()
		closeControls()
		closeWeights()
		closeHosts()
		closeLog()
	}
	return Outside{Log: log, Hosts: hosts, Weights: weights, Controls: controls, Caller: caller}, closeAll
}
