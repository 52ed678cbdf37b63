package platformassembler

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
	host "github.com/fuchsiapitch/fuchsiapitch/platform"
)

// Guards against a record of another writer that names no host, after which heartbeats wait for
// a name server, go nowhere or cannot be encoded.
func TestOddHostRecordIsIgnored(t *testing.T) {
	for name, r := range map[string]host.Record{
		"name":            {Key: "h", Value: []byte(`{"address":"host.example:80"}`)},
		"port":            {Key: "h", Value: []byte(`{"address":"10.0.0.1:70000"}`)},
		"no port":         {Key: "h", Value: []byte(`{"address":"10.0.0.1:0"}`)},
		"multicast":       {Key: "h", Value: []byte(`{"address":"224.0.0.1:80"}`)},
		"capacity":        {Key: "h", Value: []byte(`{"address":"10.0.0.1:80","capacity":9223372036854775807}`)},
		"less than none":  {Key: "h", Value: []byte(`{"address":"10.0.0.1:80","capacity":-1}`)},
		"no text":         {Key: "h\xff", Value: []byte(`{"address":"10.0.0.1:80"}`)},
		"long identifier": {Key: strings.Repeat("h", 256), Value: []byte(`{"address":"10.0.0.1:80"}`)},
		"nested":          {Key: "h", Value: []byte(`{"address":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`)},
		"data centre":     {Key: "h", Value: []byte(`{"address":"10.0.0.1:80","data-centre":"` + strings.Repeat("d", 4000) + `"}`)},
	} {
		t.Run(name, func(t *testing.T) {
			if p, ok := decodeHostRecord(r); ok {
				t.Errorf("got host %v, want none", p)
			}
		})
	}
}

// Guards against a claim whose holder cannot be told to other hosts.
func TestOddClaimIsIgnored(t *testing.T) {
	for _, holder := range []string{"", "h 1", "h\\u0000", strings.Repeat("h", 4000)} {
		if c, ok := decodeClaimRecord(host.Record{Key: controllerKey, Value: []byte(`{"holder":"` + holder + `"}`)}, 0); ok {
			t.Errorf("got a claim of %q, want none", c.Holder)
		}
	}
}

// Guards against hosts that end, or stop to follow the list, when another writer leaves odd
// records in it.
func TestHostsFollowListWithOddRecords(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	entry := func(field string) []byte {
		return []byte(fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:9","zone":"z1","slots":4,"state":"ready",%s}`, platform.PlainService, field))
	}
	for n, field := range []string{
		`"born":9223372036854775807`, `"slots":9223372036854775807`, `"address":"127.0.0.1:99999"`, `"address":"nowhere"`,
		`"domain":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000), `"other":` + strings.Repeat("[", 50000) + strings.Repeat("]", 50000),
		`"group":{"name":"g","epoch":9223372036854775807,"rank":2000000000,"state":"open"}`, `"pace":1e999`,
	} {
		c.Store.WriteServerRecord(fmt.Sprintf("odd-%d", n), entry(field))
	}
	c.Store.WriteServerRecord("odd-\xff\xfe", entry(`"born":1`))
	c.Store.WriteServerRecord("odd-empty", []byte("{"))
	c.Store.WriteRecord(host.HostsTopic, "odd", []byte(`{"address":"nowhere.example:70000","capacity":9223372036854775807}`))
	time.Sleep(2 * time.Second)
	if _, err := c.Fleet.StartServer("p9", platform.PlainService, ""); err != nil {
		t.Fatal(err)
	}
	for n := range c.clientAddresses {
		c.await(t, "server that was listed after the odd records", func() bool {
			return slices.ContainsFunc(c.fetchStatus(t, n).Servers, func(s serverStatus) bool { return s.ID == "p9" })
		})
		if status, _ := c.sendChecked(t, n, platform.LookPathPrefix+"x"); status != http.StatusOK {
			t.Errorf("host %d: got status %d, want 200", n, status)
		}
		for _, s := range c.fetchStatus(t, n).Servers {
			if strings.HasPrefix(s.ID, "odd") {
				t.Errorf("host %d: got server %q, want none of the odd records", n, s.ID)
			}
		}
	}
}
