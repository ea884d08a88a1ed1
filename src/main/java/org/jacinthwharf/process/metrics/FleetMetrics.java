package org.jacinthwharf.process.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of one process.
 *
 * <p>Thread-safe. Invariant: the counters of all {@link RefusalReason}s and {@link RetryReason}s
 * exist from the start, at zero.
 */
public final class FleetMetrics {
    private static final double[] DELAY_BOUNDS = {.01, .03, .1, .3, 1, 3};

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mRefusals;
    private final Counter mRetries;
    private final Counter mEvents;
    private final Counter mControlBytes;
    private final Counter mGatewayBytes;
    private final Histogram mRequestSeconds;
    private final Histogram mLoopDelaySeconds;
    private final Histogram mLoadRoundTripSeconds;
    private final Gauge mStorageFailing;
    private final Gauge mDutyToken;
    private final Gauge mUsageWindow;
    private final Gauge mServersOrdered;

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
        mGatewayBytes =
                Counter.builder()
                        .name("jacinthwharf_gateway_bytes_total")
                        .help("Bytes of bodies that a gateway received, by kind.")
                        .labelNames("kind")
                        .register(mRegistry);
        mLoopDelaySeconds =
                Histogram.builder()
                        .name("jacinthwharf_loop_delay_seconds")
                        .help("How late periodic tasks of the event loop ran.")
                        .classicUpperBounds(DELAY_BOUNDS)
                        .register(mRegistry);
        mLoadRoundTripSeconds =
                Histogram.builder()
                        .name("jacinthwharf_load_round_trip_seconds")
                        .help("Time from a gateway's load report to the sums that include it.")
                        .classicUpperBounds(DELAY_BOUNDS)
                        .register(mRegistry);
        mDutyToken =
                Gauge.builder()
                        .name("jacinthwharf_duty_token")
                        .help("Fencing token of a duty that this process holds; 0 if it does not.")
                        .labelNames("duty")
                        .register(mRegistry);
        mUsageWindow =
                Gauge.builder()
                        .name("jacinthwharf_usage_window")
                        .help("Last usage window that this process fixed, or reported, by state.")
                        .labelNames("state")
                        .register(mRegistry);
        mServersOrdered =
                Gauge.builder()
                        .name("jacinthwharf_servers_ordered")
                        .help("Servers that this process ordered last.")
                        .labelNames("service", "failure_domain")
                        .register(mRegistry);
        mStorageFailing =
                Gauge.builder()
                        .name("jacinthwharf_storage_failing")
                        .help("Whether the disk of a control member refuses writes, 1 or 0.")
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

    /** Adds bytes of bodies that a gateway received; {@code kind} is a fixed name in the code. */
    public void countGatewayBytes(String kind, long bytes) {
        mGatewayBytes.labelValues(kind).inc(bytes);
    }

    /** Records how late a periodic task of the event loop ran. */
    public void observeLoopDelay(double seconds) {
        mLoopDelaySeconds.observe(seconds);
    }

    /** Records the time from a gateway's load report to the sums that include it. */
    public void observeLoadRoundTrip(double seconds) {
        mLoadRoundTripSeconds.observe(seconds);
    }

    /** Sets the token of a duty that this process holds; 0 if it does not hold the duty. */
    public void setDutyToken(String duty, long token) {
        mDutyToken.labelValues(duty).set(token);
    }

    /** Sets the number of the last usage window in a state, {@code fixed} or {@code reported}. */
    public void setUsageWindow(String state, long window) {
        mUsageWindow.labelValues(state).set(window);
    }

    /** Sets the number of servers that were ordered for a service in a failure domain. */
    public void setServersOrdered(String service, String failureDomain, int servers) {
        mServersOrdered.labelValues(service, failureDomain).set(servers);
    }

    /** Records whether the disk of a control member refuses writes. */
    public void setStorageFailing(boolean failing) {
        mStorageFailing.set(failing ? 1 : 0);
    }

    /** Returns the registry, for exposition. */
    public PrometheusRegistry registry() {
        return mRegistry;
    }
}
