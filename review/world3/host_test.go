//go:build review

package world3

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// world is one deployment: a store, entry hosts and replicas, the last two as processes.
type world struct {
	folder string
	store  *store
	log    *os.File
	mutex  sync.Mutex
	hosts  []*host
	others []*exec.Cmd
}

type host struct {
	name, front, ready string
	command            *exec.Cmd
	settings           string
	output             *os.File
}

// errSetup reports that a case could not run.
var errSetup = errors.New("the case could not run")

func newWorld(recordPath string) (*world, error) {
	folder, err := os.MkdirTemp("", "world3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &world{folder: folder, store: s, log: record}, nil
}

func (w *world) record(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.log, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, values...))
}

// close ends all processes that the world started.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, c := range w.others {
		c.Process.Kill()
		c.Wait()
	}
	w.store.listener.Close()
	w.log.Close()
	os.RemoveAll(w.folder)
}

func (h *host) kill() {
	if h.command != nil {
		h.command.Process.Kill()
		h.command.Wait()
		h.command = nil
	}
}

// freePorts returns a run of n ports that are free for TCP and UDP.
func freePorts(n int) (int, error) {
	for first := 12000 + os.Getpid()%1000*16; first < 32000; first += 16 {
		ok := true
		for p := first; p < first+n && ok; p++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.11:%d", p))
			if err != nil {
				ok = false
				continue
			}
			u, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.11:%d", p))
			if err == nil {
				u.Close()
			}
			l.Close()
			ok = err == nil
		}
		if ok {
			return first, nil
		}
	}
	return 0, errSetup
}

// startHosts starts a number of entry hosts and waits until they are ready. Each has its own loopback
// address, as machines have theirs.
func (w *world) startHosts(n int) error {
	first, err := freePorts(8)
	if err != nil {
		return err
	}
	for i := range n {
		zone := fmt.Sprintf("zone-%d", i%3+1)
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		h := &host{
			name: fmt.Sprintf("front-%s-%d", zone, i/3+1), front: fmt.Sprintf("%s:%d", ip, first), ready: fmt.Sprintf("%s:%d", ip, first+1),
		}
		settings, _ := json.Marshal(map[string]any{
			"node_id": h.name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": ip, "zone": zone, "region": "region-1",
			"zones":  map[string]string{"zone-1": "region-1", "zone-2": "region-1", "zone-3": "region-1"},
			"listen": map[string]string{"front": h.front, "ready": h.ready}, "port_range": []int{first + 2, first + 7}, "seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cpus": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "gangs"},
			"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seed_lag_s": 3, "reuse_delay_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": drainTime.Milliseconds(), "grace_s": 8, "loss_slack_ms": 200,
				"config_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000, "strict_revoke": false, "revoke_ms": 5000, "retry_ratio": 0.2, "budget_window_s": 10, "retry_slack": 130,
				"recover_s": 12, "pass_ms": 120, "again_s": 0, "stall_ms": 4000, "require_fence": false, "ceiling_window_s": 5, "ceiling_over": 1.1,
			},
			"provider": map[string]any{
				"address": w.store.address(), "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0, "part_mb_per_s": 20.0, "read_mb_per_s": 80.0,
				"record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000,
			},
		})
		h.settings = filepath.Join(w.folder, h.name+".json")
		if err := os.WriteFile(h.settings, settings, 0o600); err != nil {
			return err
		}
		if h.output, err = os.Create(filepath.Join(w.folder, h.name+".log")); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	return w.awaitReady(20 * time.Second)
}

// start starts the process of the host by the command of the deploy file.
func (h *host) start() error {
	h.command = exec.Command(os.Getenv("WORLD3_PROGRAM"), "serve")
	h.command.Env = []string{"FUCHSIAPITCH_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.command.Stdout, h.command.Stderr = h.output, h.output
	return h.command.Start()
}

func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range w.hosts {
			if response, err := http.Get("http://" + h.ready + "/ready"); err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.hosts) {
			return nil
		}
	}
	return errSetup
}

// startReplica starts the process of a replica. What it prints goes to the record.
func (w *world) startReplica(id, service, zone string, unframed bool) (*exec.Cmd, error) {
	c := exec.Command(os.Args[0])
	flag := "0"
	if unframed {
		flag = "1"
	}
	c.Env = append(os.Environ(), "WORLD3=replica", "WORLD3_ID="+id, "WORLD3_SERVICE="+service, "WORLD3_ZONE="+zone, "WORLD3_STORE="+w.store.address(), "WORLD3_UNFRAMED="+flag)
	output, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		return nil, err
	}
	w.others = append(w.others, c)
	go func() {
		data := make([]byte, 64<<10)
		for {
			n, err := output.Read(data)
			for _, line := range bytes.Split(bytes.TrimRight(data[:n], "\n"), []byte("\n")) {
				if len(line) > 0 {
					w.mutex.Lock()
					fmt.Fprintf(w.log, "%s\n", line)
					w.mutex.Unlock()
				}
			}
			if err != nil {
				return
			}
		}
	}()
	return c, nil
}
