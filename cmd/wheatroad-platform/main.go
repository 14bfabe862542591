// Command wheatroad-platform runs a fake platform for tests: table service, object store,
// machine list and simulated workers on one address.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/buildinfo"
	"github.com/wheatroad/wheatroad/internal/standin"
	"github.com/wheatroad/wheatroad/internal/trace"
)

type options struct {
	listen      string
	addressFile string
	cluster     string
	slots       int
	seed        uint64
	listLag     time.Duration
	reportLag   time.Duration
}

func main() {
	var o options
	root := &cobra.Command{
		Use:          "wheatroad-platform --cluster C.toml",
		Short:        "Fake platform with configurable faults",
		Example:      "  wheatroad-platform --cluster examples/replay/sahil.toml --listen 127.0.0.1:7000",
		Version:      buildinfo.Version(),
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return serve(o) },
	}
	flags := root.Flags()
	flags.StringVar(&o.listen, "listen", "127.0.0.1:0", "loopback address")
	flags.StringVar(&o.addressFile, "address-file", "", "file that receives the address listened on")
	flags.StringVar(&o.cluster, "cluster", "", "cluster file")
	flags.IntVar(&o.slots, "slots", 8, "maximum number of gang members per worker")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the faults")
	flags.DurationVar(&o.listLag, "list-lag", time.Second, "lag of the machine list")
	flags.DurationVar(&o.reportLag, "report-lag", 100*time.Millisecond, "lag of the report feed")
	if root.Execute() != nil {
		os.Exit(1)
	}
}

func serve(o options) error {
	c, err := trace.ReadCluster(o.cluster)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	site := standin.NewSite(layouts(c, o.slots), "http://"+address, time.Now())
	site.ListLag, site.ReportLag = o.listLag, o.reportLag
	server := &http.Server{Handler: standin.NewServer(site, o.seed, time.Now), ReadHeaderTimeout: 5 * time.Second}
	if o.addressFile != "" {
		if err := os.WriteFile(o.addressFile, []byte(address), 0o644); err != nil {
			return err
		}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		server.Close()
	}()
	fmt.Fprintln(os.Stderr, "fake platform listening on", address)
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func layouts(c *trace.Cluster, slots int) []standin.Layout {
	list := make([]standin.Layout, len(c.Pool))
	for i, pool := range c.Pool {
		list[i] = standin.Layout{
			Region: pool.Region, Zone: pool.Zone, Racks: pool.Racks, WorkersPerRack: pool.WorkersPerRack,
			Accelerators: pool.Accelerators, CPUs: pool.CPUs, MemoryGB: pool.MemoryGB, Slots: slots,
		}
	}
	return list
}
