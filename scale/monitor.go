package scale

import (
	"context"
	"sync"
	"time"
)

const (
	monitorInterval = time.Second
	statsTimeout    = 900 * time.Millisecond
)

// monitor samples the resource usage of all processes of a cluster, once per monitorInterval.
type monitor struct {
	cluster *cluster

	mu     sync.Mutex
	series map[Role][]*usageSeries
	byPID  map[int]*usageSeries
}

// usageSeries are the samples of one process.
type usageSeries struct {
	gateways int // number of gateways in the process
	samples  []ProcessStats
}

func newMonitor(c *cluster) *monitor {
	return &monitor{cluster: c, series: map[Role][]*usageSeries{}, byPID: map[int]*usageSeries{}}
}

// run takes samples until ctx is canceled.
func (m *monitor) run(ctx context.Context) {
	for {
		m.sample(ctx)
		if !sleep(ctx, monitorInterval) {
			return
		}
	}
}

// sample polls all processes concurrently. Processes that don't answer, because they are paused or down, are skipped.
func (m *monitor) sample(ctx context.Context) {
	var polls sync.WaitGroup
	poll := func(process *Process, gateways int) {
		polls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, statsTimeout)
			defer cancel()
			var stats ProcessStats
			if process.Call(ctx, methodStats, empty{}, &stats) == nil {
				m.addSample(process, gateways, stats)
			}
		})
	}
	for _, part := range m.cluster.gateways {
		poll(part.process, len(part.numbers))
	}
	for voter := range m.cluster.voters {
		if process := m.cluster.voterProcess(voter); process != nil {
			poll(process, 0)
		}
	}
	if m.cluster.relay != nil {
		poll(m.cluster.relay, 0)
	}
	polls.Wait()
}

func (m *monitor) addSample(process *Process, gateways int, stats ProcessStats) {
	m.mu.Lock()
	defer m.mu.Unlock()
	series := m.byPID[stats.PID]
	if series == nil {
		series = &usageSeries{gateways: gateways}
		m.byPID[stats.PID] = series
		m.series[process.Role] = append(m.series[process.Role], series)
	}
	series.samples = append(series.samples, stats)
}

// Usage is the resource usage of the processes of one role. Processor time is in percent of a core.
type Usage struct {
	CPUMean        float64 `json:"cpu_mean_percent"`         // sum of the means of all processes
	CPUPeak        float64 `json:"cpu_peak_percent"`         // highest value of any process between two samples
	CPUHighestMean float64 `json:"cpu_highest_mean_percent"` // highest mean of any process
	RSSMax         int64   `json:"rss_max_bytes"`            // sum of the peaks of all processes
	RSSHighest     int64   `json:"rss_highest_bytes"`        // highest peak of any process
	Descriptors    int     `json:"descriptors_highest"`
	Goroutines     int     `json:"goroutines_highest"`
	Processes      int     `json:"processes"`
}

// usage aggregates the samples of all processes of a role.
func (m *monitor) usage(role Role) (out Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, series := range m.series[role] {
		mean, peak := series.cpuUsage()
		out.CPUMean += mean
		out.CPUPeak = max(out.CPUPeak, peak)
		out.CPUHighestMean = max(out.CPUHighestMean, mean)
		resident := series.maxRSS()
		out.RSSMax += resident
		out.RSSHighest = max(out.RSSHighest, resident)
		for _, sample := range series.samples {
			out.Descriptors = max(out.Descriptors, sample.Descriptors)
			out.Goroutines = max(out.Goroutines, sample.Goroutines)
		}
	}
	out.Processes = len(m.series[role])
	return out
}

// gatewayPeak returns the highest processor usage per gateway of any process between two samples, in percent of a core.
func (m *monitor) gatewayPeak() (peak float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, series := range m.series[RoleGateways] {
		_, seriesPeak := series.cpuUsage()
		peak = max(peak, seriesPeak/float64(series.gateways))
	}
	return peak
}

// cpuUsage returns the mean processor usage and the highest between two samples, in percent of a core.
func (s *usageSeries) cpuUsage() (mean, peak float64) {
	for i := 1; i < len(s.samples); i++ {
		peak = max(peak, corePercent(s.samples[i-1], s.samples[i]))
	}
	if len(s.samples) > 1 {
		mean = corePercent(s.samples[0], s.samples[len(s.samples)-1])
	}
	return mean, peak
}

func (s *usageSeries) maxRSS() (highest int64) {
	for _, sample := range s.samples {
		highest = max(highest, sample.RSS)
	}
	return highest
}

func corePercent(from, to ProcessStats) float64 {
	return 100 * float64(to.CPU-from.CPU) / float64(to.At.Sub(from.At))
}

// TrafficReport is the traffic on the connections between gateways and voters.
type TrafficReport struct {
	GatewayBytesIn     float64   `json:"gateway_bytes_in_per_s"` // mean per gateway
	GatewayBytesOut    float64   `json:"gateway_bytes_out_per_s"`
	GatewayMessagesIn  float64   `json:"gateway_messages_in_per_s"`
	GatewayMessagesOut float64   `json:"gateway_messages_out_per_s"`
	GatewayBytesPeak   float64   `json:"gateway_bytes_peak_per_s"` // both directions, mean per gateway of the busiest process between two samples
	Reconnects         int64     `json:"reconnects"`
	Snapshots          int64     `json:"snapshots"`
	VoterBytesIn       []float64 `json:"voter_bytes_in_per_s"` // by process, including connections of other voters
	VoterBytesOut      []float64 `json:"voter_bytes_out_per_s"`
	VoterSubscribers   []int64   `json:"voter_subscribers_max"`
}

// traffic aggregates the traffic counts of gateways and voters. The means are over the given number of gateways.
func (m *monitor) traffic(gateways int) (out TrafficReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, series := range m.series[RoleGateways] {
		if len(series.samples) < 2 {
			continue
		}
		rate := trafficRate(series.samples[0], series.samples[len(series.samples)-1])
		out.GatewayBytesIn += rate.bytesIn / float64(gateways)
		out.GatewayBytesOut += rate.bytesOut / float64(gateways)
		out.GatewayMessagesIn += rate.messagesIn / float64(gateways)
		out.GatewayMessagesOut += rate.messagesOut / float64(gateways)
		out.Reconnects += rate.reconnects
		out.Snapshots += rate.snapshots
		out.GatewayBytesPeak = max(out.GatewayBytesPeak, series.bytesPeak()/float64(series.gateways))
	}
	for _, series := range m.series[RoleVoters] {
		if len(series.samples) < 2 {
			continue
		}
		rate := trafficRate(series.samples[0], series.samples[len(series.samples)-1])
		out.VoterBytesIn = append(out.VoterBytesIn, rate.bytesIn)
		out.VoterBytesOut = append(out.VoterBytesOut, rate.bytesOut)
		out.VoterSubscribers = append(out.VoterSubscribers, series.maxSubscribers())
	}
	return out
}

// rate is the traffic of a process between two samples: per second, except reconnects and snapshots, which are totals.
type rate struct {
	bytesIn, bytesOut, messagesIn, messagesOut float64

	reconnects, snapshots int64
}

func trafficRate(from, to ProcessStats) rate {
	seconds := to.At.Sub(from.At).Seconds()
	before, after := from.Traffic, to.Traffic
	return rate{
		bytesIn: float64(after.BytesIn-before.BytesIn) / seconds, bytesOut: float64(after.BytesOut-before.BytesOut) / seconds,
		messagesIn:  float64(after.MessagesIn-before.MessagesIn) / seconds,
		messagesOut: float64(after.MessagesOut-before.MessagesOut) / seconds,
		reconnects:  after.Reconnects - before.Reconnects, snapshots: after.Snapshots - before.Snapshots,
	}
}

// bytesPeak returns the highest traffic between two samples, in bytes per second, both directions together.
func (s *usageSeries) bytesPeak() (peak float64) {
	for i := 1; i < len(s.samples); i++ {
		rate := trafficRate(s.samples[i-1], s.samples[i])
		peak = max(peak, rate.bytesIn+rate.bytesOut)
	}
	return peak
}

func (s *usageSeries) maxSubscribers() (highest int64) {
	for _, sample := range s.samples {
		highest = max(highest, sample.Traffic.Subscribers)
	}
	return highest
}
