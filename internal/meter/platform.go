package meter

import (
	"fmt"
	"strconv"
	"time"
)

// ObserveQueueWait records the time that a request waited before it was granted a
// slot.
func (m *Meter) ObserveQueueWait(wait time.Duration) {
	m.set.GetOrCreateHistogram("fuchsiapitch_queue_wait_seconds").Update(wait.Seconds())
}

// CountSlotRefusal counts a request that was refused a slot.
func (m *Meter) CountSlotRefusal(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_place_refusals_total{reason=%q}", reason)).Inc()
}

// CountSlotRevocation counts a slot that was revoked because its group was dissolved
// or no longer responded.
func (m *Meter) CountSlotRevocation() {
	m.set.GetOrCreateCounter("fuchsiapitch_withdrawn_places_total").Inc()
}

// CountServerSetAside counts a server that gets no new requests because it stated that it
// leaves or pauses.
func (m *Meter) CountServerSetAside(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_servers_set_aside_total{reason=%q}", reason)).Inc()
}

// CountEvacuationChange counts a data centre that is evacuated or taken back.
func (m *Meter) CountEvacuationChange(evacuated bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_evacuation_changes_total{evacuated=%q}", strconv.FormatBool(evacuated))).Inc()
}

// CountServerEnd counts a server that has ended while it answered requests of this host.
func (m *Meter) CountServerEnd() {
	m.set.GetOrCreateCounter("fuchsiapitch_servers_ended_total").Inc()
}

// CountQuarantineChange counts a part of prompts that is quarantined, or free again.
func (m *Meter) CountQuarantineChange(quarantined bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_quarantine_changes_total{quarantined=%q}", strconv.FormatBool(quarantined))).Inc()
}

// CountPermitUse counts a request with quarantined parts that is sent all the same.
func (m *Meter) CountPermitUse(discriminating bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_used_permits_total{discriminating=%q}", strconv.FormatBool(discriminating))).Inc()
}

// CountAttempt counts an attempt to run a request at a backend server.
func (m *Meter) CountAttempt(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_attempts_total{outcome=%q}", outcome)).Inc()
}

// CountOrder counts an order to a backend server and its result.
func (m *Meter) CountOrder(orderKind, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_orders_total{order=%q,answer=%q}", orderKind, result)).Inc()
}

// CountReportRequest counts a request for the report of a backend server.
func (m *Meter) CountReportRequest(answered bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_reports_total{answered=\"%t\"}", answered)).Inc()
}

// ObserveGroupFormation records the time from the planning of a group to its opening.
func (m *Meter) ObserveGroupFormation(duration time.Duration) {
	m.set.GetOrCreateHistogram("fuchsiapitch_formation_seconds").Update(duration.Seconds())
}

// ObserveFailureDetection records for how long an open group had sent no byte when it
// was dissolved because of a failure.
func (m *Meter) ObserveFailureDetection(silence time.Duration) {
	m.set.GetOrCreateHistogram("fuchsiapitch_detection_seconds").Update(silence.Seconds())
}

// CountStoreRead counts a read of a topic of the platform's store by its result
// ("succeeded", "failed" or "restarted"), and the bytes of the response that were received.
func (m *Meter) CountStoreRead(topic, result string, receivedBytes int64) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_store_reads_total{topic=%q,failed=\"%t\",result=%q}", topic, result != "succeeded", result)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_store_read_bytes_total{topic=%q,result=%q}", topic, result)).Add(int(receivedBytes))
}

// CountConfiguration counts a configuration that the host has received, by its source ("store" or
// "host") and by what became of it ("in-force", "not-newer" or "invalid").
func (m *Meter) CountConfiguration(source, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_configurations_total{source=%q,result=%q}", source, result)).Inc()
}

// RegisterConfigurationLagGauge registers the gauge of the time in seconds for which other live
// hosts have had a later configuration, 0 if none has.
func (m *Meter) RegisterConfigurationLagGauge(seconds func() float64) {
	m.set.NewGauge("fuchsiapitch_configuration_lag_seconds", seconds)
}

// RegisterStoreAnswerGauge registers the gauge of the time in seconds since the store last
// answered a read of a topic.
func (m *Meter) RegisterStoreAnswerGauge(topic string, seconds func() float64) {
	m.set.NewGauge(fmt.Sprintf("fuchsiapitch_store_answer_age_seconds{topic=%q}", topic), seconds)
}

// CountStoreRewind counts that the platform's store has gone back.
func (m *Meter) CountStoreRewind() {
	m.set.GetOrCreateCounter("fuchsiapitch_store_rewinds_total").Inc()
}

// RegisterInFlightGauge registers the gauge of the requests in flight at the host.
func (m *Meter) RegisterInFlightGauge(count func() float64) {
	m.set.NewGauge("fuchsiapitch_requests_in_flight", count)
}

// RegisterBufferGauge registers the gauge of the bytes that buffered responses take from the memory
// for them.
func (m *Meter) RegisterBufferGauge(bytes func() float64) {
	m.set.NewGauge("fuchsiapitch_buffered_response_bytes", bytes)
}

// RegisterBodyGauge registers the gauge of the bytes that bodies of requests take from the memory for
// them.
func (m *Meter) RegisterBodyGauge(bytes func() float64) {
	m.set.NewGauge("fuchsiapitch_held_body_bytes", bytes)
}

// CountRefusedBody counts a request that was refused because of its body.
func (m *Meter) CountRefusedBody(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_refused_bodies_total{reason=%q}", reason)).Inc()
}

// CountSlowReader counts a stream that the host reads on since its client does not read it.
func (m *Meter) CountSlowReader() {
	m.set.GetOrCreateCounter("fuchsiapitch_slow_readers_total").Inc()
}

// CountUnreadRefusal counts a request that was refused since its caller does not read its responses.
func (m *Meter) CountUnreadRefusal() {
	m.set.GetOrCreateCounter("fuchsiapitch_unread_refusals_total").Inc()
}

// CountFullHost counts a time at which the host had as many connections of clients as it may.
func (m *Meter) CountFullHost() {
	m.set.GetOrCreateCounter("fuchsiapitch_connection_limit_reached_total").Inc()
}

// CountEndedConnection counts a connection of a client that this host has ended to make room for
// others, or since its client does not read, by the reason ("header", "idle" or "unread").
func (m *Meter) CountEndedConnection(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_ended_connections_total{reason=%q}", reason)).Inc()
}

// CountRefusedHeader counts a request that was refused because of the size of its header, by the
// reason ("too-large" or "no-room").
func (m *Meter) CountRefusedHeader(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_refused_headers_total{reason=%q}", reason)).Inc()
}

// RegisterConfigurationVersionGauge registers the gauge of the version of the
// configuration in force.
func (m *Meter) RegisterConfigurationVersionGauge(version func() float64) {
	m.set.NewGauge("fuchsiapitch_configuration_version", version)
}

// CountClosedConnection counts a connection of a client that this host has closed. unread
// is true if data had arrived on it that was not read, unserved if the host had read at least
// a part of a request that no handler has seen.
func (m *Meter) CountClosedConnection(unread, unserved bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_closed_connections_total{unread=\"%t\",unserved=\"%t\"}", unread, unserved)).Inc()
}

// CountRescuedRequest counts a request that had arrived when its connection was to be closed
// for idleness or for a stop, and was served nevertheless.
func (m *Meter) CountRescuedRequest() {
	m.set.GetOrCreateCounter("fuchsiapitch_rescued_requests_total").Inc()
}

// CountCrossedRequest counts a request that arrived after the end of its idle connection had been
// announced, and was refused by the announcement.
func (m *Meter) CountCrossedRequest() {
	m.set.GetOrCreateCounter("fuchsiapitch_crossed_requests_total").Inc()
}

// CountBrokenOffResponse counts a response that a client had begun to receive and that ended
// before it was complete, by its cause.
func (m *Meter) CountBrokenOffResponse(cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_broken_off_responses_total{cause=%q}", cause)).Inc()
}
