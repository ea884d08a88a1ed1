package org.jacinthwharf.process.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of one process.
 *
 * <p>Thread-safe. Invariant: the counters of all {@link RefusalReason}s and {@link RetryReason}s
 * exist from the start, at zero.
 */
public final class FleetMetrics {
    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mRefusals;
    private final Counter mRetries;
    private final Counter mEvents;
    private final Counter mControlBytes;
    private final Histogram mRequestSeconds;

    /** Creates the metrics in their own registry. */
    public FleetMetrics() {
        mRefusals =
                Counter.builder()
                        .name("jacinthwharf_refusals_total")
                        .help("Requests and announcements refused, by reason.")
                        .labelNames("reason")
                        .register(mRegistry);
        mRetries =
                Counter.builder()
                        .name("jacinthwharf_retries_total")
                        .help("Attempts that were followed by another one, by reason.")
                        .labelNames("reason")
                        .register(mRegistry);
        mEvents =
                Counter.builder()
                        .name("jacinthwharf_events_total")
                        .help("Events in the process, by name.")
                        .labelNames("event")
                        .register(mRegistry);
        mControlBytes =
                Counter.builder()
                        .name("jacinthwharf_control_bytes_total")
                        .help("Bytes of messages between processes, by direction and message.")
                        .labelNames("direction", "message")
                        .register(mRegistry);
        mRequestSeconds =
                Histogram.builder()
                        .name("jacinthwharf_request_seconds")
                        .help("Time from the arrival of a request to the end of its answer.")
                        .labelNames("route", "outcome")
                        .classicUpperBounds(.005, .02, .05, .1, .25, .5, .93, 2, 5, 15, 60)
                        .register(mRegistry);
        for (RefusalReason r : RefusalReason.values()) {
            mRefusals.initLabelValues(r.code());
        }
        for (RetryReason r : RetryReason.values()) {
            mRetries.initLabelValues(r.code());
        }
    }

    /** Counts one refusal. */
    public void countRefusal(RefusalReason reason) {
        mRefusals.labelValues(reason.code()).inc();
    }

    /** Counts one retry. */
    public void countRetry(RetryReason reason) {
        mRetries.labelValues(reason.code()).inc();
    }

    /** Counts one event; {@code name} comes from a fixed set of names in the code. */
    public void countEvent(String name) {
        mEvents.labelValues(name).inc();
    }

    /** Adds {@code bytes} of a message between processes, sent or received. */
    public void countControlBytes(String direction, String message, long bytes) {
        mControlBytes.labelValues(direction, message).inc(bytes);
    }

    /** Records the duration of one request. */
    public void observeRequest(String route, String outcome, double seconds) {
        mRequestSeconds.labelValues(route, outcome).observe(seconds);
    }

    /** Returns the registry, for exposition. */
    public PrometheusRegistry registry() {
        return mRegistry;
    }
}
