package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.metrics.FleetMetrics;

/**
 * What a gateway does and how late it does it, in metrics and in a log line every few seconds.
 *
 * <p>The delays tell an overloaded processor from an overloaded link: the first delays the timers
 * of the event loop, the second only the answers of other processes. Used on the event loop only.
 */
final class GatewayActivity {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(5);

    private final FleetMetrics mMetrics;
    private long mLoggedNanos;
    private long mRequests;
    private long mRequestBytes;
    private long mAnswerBytes;
    private long mDispatchRuns;
    private long mMaxLoopDelayNanos;
    private long mMaxLoadRoundTripNanos;

    GatewayActivity(FleetMetrics metrics, long nowNanos) {
        mMetrics = metrics;
        mLoggedNanos = nowNanos;
    }

    /** Records a request of a caller with a body of the given size. */
    void onRequest(long bytes) {
        mRequests++;
        mRequestBytes += bytes;
        mMetrics.countGatewayBytes("request", bytes);
    }

    /** Records part of an answer of a backend server. */
    void onAnswerBytes(long bytes) {
        mAnswerBytes += bytes;
        mMetrics.countGatewayBytes("answer", bytes);
    }

    /** Records that waiting requests were offered to the servers. */
    void onDispatchRun() {
        mDispatchRuns++;
    }

    /** Records how late a timer ran. */
    void onLoopDelay(long nanos) {
        mMaxLoopDelayNanos = Math.max(mMaxLoopDelayNanos, nanos);
        mMetrics.observeLoopDelay(nanos / 1e9);
    }

    /** Records the time from a load report to the sums that include it. */
    void onLoadRoundTrip(long nanos) {
        mMaxLoadRoundTripNanos = Math.max(mMaxLoadRoundTripNanos, nanos);
        mMetrics.observeLoadRoundTrip(nanos / 1e9);
    }

    /** Logs the activity since the last log line if the log interval is over. */
    void logIfDue(long nowNanos, int openCalls, int waiting, int callers) {
        if (nowNanos - mLoggedNanos < LOG_INTERVAL.toNanos()) {
            return;
        }
        LOGGER.atInfo().log(
                "event=gateway_activity interval_ms=%d requests=%d request_kb=%d answer_kb=%d"
                        + " dispatch_runs=%d loop_delay_ms=%d load_round_trip_ms=%d open_calls=%d"
                        + " waiting=%d callers=%d",
                toMillis(nowNanos - mLoggedNanos),
                mRequests,
                mRequestBytes >> 10,
                mAnswerBytes >> 10,
                mDispatchRuns,
                toMillis(mMaxLoopDelayNanos),
                toMillis(mMaxLoadRoundTripNanos),
                openCalls,
                waiting,
                callers);
        mLoggedNanos = nowNanos;
        mRequests = 0;
        mRequestBytes = 0;
        mAnswerBytes = 0;
        mDispatchRuns = 0;
        mMaxLoopDelayNanos = 0;
        mMaxLoadRoundTripNanos = 0;
    }

    private static long toMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
