package org.jacinthwharf.connection;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether a request without progress has a slow server, a silent connection or a lost
 * server.
 *
 * <p>One detector watches one attempt on one connection. Invariants: at most one probe is open; the
 * server is suspected only if it did not answer a probe on a new connection; progress on the old
 * connection cancels the open probe, whose result then changes nothing. After a verdict the
 * detector probes again when another limit has passed, for calls that must wait on the old
 * connection.
 *
 * <p>Not thread-safe; used on the event loop. Times are monotonic nanoseconds.
 */
public final class SilenceDetector {
    /** Time for a probe, connecting included. */
    public static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** What a health request on a new connection to the same server showed. */
    public enum ProbeResult {
        /** The server answered and lists the request as running. */
        LISTS_REQUEST,
        /** The server answered and does not list the request. */
        ANSWERED,
        /** No connection, no answer, or an answer that cannot be read. */
        NO_ANSWER
    }

    /** What to do with the connection. */
    public enum Verdict {
        /** Go on waiting. */
        WAIT,
        /** Ask the server for its health on a new connection. */
        PROBE,
        /** The connection is silent; replace it and do not suspect the server. */
        REPLACE_CONNECTION,
        /** Suspect the server. */
        SUSPECT_SERVER
    }

    private final long mLimitNanos;
    private long mQuietSince;
    private boolean mProbing;
    private long mProbeSince;

    /**
     * Creates a detector for a request that is sent now.
     *
     * @param limitNanos from {@link FirstByteTimes#silenceLimitNanos}
     * @throws IllegalArgumentException if {@code limitNanos} is not positive
     */
    public SilenceDetector(long limitNanos, long nowNanos) {
        checkArgument(limitNanos > 0, "limitNanos not positive: %s", limitNanos);
        mLimitNanos = limitNanos;
        mQuietSince = nowNanos;
    }

    /** Notes that bytes of the answer arrived. */
    public void onProgress(long nowNanos) {
        mQuietSince = nowNanos;
        mProbing = false;
    }

    /**
     * Returns WAIT, PROBE when the limit has passed, or SUSPECT_SERVER when the probe timed out.
     */
    public Verdict onTick(long nowNanos) {
        if (mProbing) {
            return nowNanos - mProbeSince >= PROBE_TIMEOUT_NANOS
                    ? onProbe(ProbeResult.NO_ANSWER, nowNanos)
                    : Verdict.WAIT;
        }
        if (nowNanos - mQuietSince <= mLimitNanos) {
            return Verdict.WAIT;
        }
        mProbing = true;
        mProbeSince = nowNanos;
        return Verdict.PROBE;
    }

    /** Returns what the result of the open probe means; without an open probe, WAIT. */
    public Verdict onProbe(ProbeResult result, long nowNanos) {
        if (!mProbing) {
            return Verdict.WAIT;
        }
        mProbing = false;
        mQuietSince = nowNanos;
        if (nowNanos - mProbeSince > PROBE_TIMEOUT_NANOS) {
            return Verdict.SUSPECT_SERVER;
        }
        return switch (result) {
            case LISTS_REQUEST -> Verdict.WAIT;
            case ANSWERED -> Verdict.REPLACE_CONNECTION;
            case NO_ANSWER -> Verdict.SUSPECT_SERVER;
        };
    }
}
