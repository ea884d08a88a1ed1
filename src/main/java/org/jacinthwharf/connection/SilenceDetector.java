package org.jacinthwharf.connection;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether a request without progress is caused by a slow server, a silent connection or a
 * lost server.
 *
 * <p>One detector watches one attempt on one connection. Invariants: at most one probe is
 * outstanding; the server is suspected only if it did not answer a probe on a new connection;
 * progress on the old connection cancels the outstanding probe, whose result is then ignored. After
 * a verdict the detector probes again when the limit has passed once more, for calls that must wait
 * on the old connection.
 *
 * <p>Not thread-safe; used on the event loop. Times are monotonic nanoseconds.
 */
public final class SilenceDetector {
    /** Timeout of a probe, including the time to connect. */
    public static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Result of a health request on a new connection to the same server. */
    public enum ProbeResult {
        /** The server answered and lists the request as running. */
        LISTS_REQUEST,
        /** The server answered and does not list the request. */
        ANSWERED,
        /** No connection, no answer, or a malformed answer. */
        NO_ANSWER
    }

    /** Action to take on the connection. */
    public enum Verdict {
        /** Keep waiting. */
        WAIT,
        /** Send a health request to the server on a new connection. */
        PROBE,
        /** The connection is silent; replace it and do not suspect the server. */
        REPLACE_CONNECTION,
        /** Suspect the server. */
        SUSPECT_SERVER
    }

    private final long mLimitNanos;
    private long mSilentSinceNanos;
    private boolean mProbeOutstanding;
    private long mProbeStartNanos;

    /**
     * Creates a detector for a request that is sent at {@code nowNanos}.
     *
     * @param limitNanos from {@link FirstByteTimes#silenceLimitNanos}
     * @throws IllegalArgumentException if {@code limitNanos} is not positive
     */
    public SilenceDetector(long limitNanos, long nowNanos) {
        checkArgument(limitNanos > 0, "limitNanos not positive: %s", limitNanos);
        mLimitNanos = limitNanos;
        mSilentSinceNanos = nowNanos;
    }

    /** Records that bytes of the answer arrived. */
    public void onProgress(long nowNanos) {
        mSilentSinceNanos = nowNanos;
        mProbeOutstanding = false;
    }

    /** Returns PROBE if the limit has passed, SUSPECT_SERVER if the probe timed out, else WAIT. */
    public Verdict onTick(long nowNanos) {
        if (mProbeOutstanding) {
            return nowNanos - mProbeStartNanos >= PROBE_TIMEOUT_NANOS
                    ? onProbe(ProbeResult.NO_ANSWER, nowNanos)
                    : Verdict.WAIT;
        }
        if (nowNanos - mSilentSinceNanos <= mLimitNanos) {
            return Verdict.WAIT;
        }
        mProbeOutstanding = true;
        mProbeStartNanos = nowNanos;
        return Verdict.PROBE;
    }

    /** Returns the verdict on the result of the outstanding probe; WAIT if there is none. */
    public Verdict onProbe(ProbeResult result, long nowNanos) {
        if (!mProbeOutstanding) {
            return Verdict.WAIT;
        }
        mProbeOutstanding = false;
        mSilentSinceNanos = nowNanos;
        if (nowNanos - mProbeStartNanos > PROBE_TIMEOUT_NANOS) {
            return Verdict.SUSPECT_SERVER;
        }
        return switch (result) {
            case LISTS_REQUEST -> Verdict.WAIT;
            case ANSWERED -> Verdict.REPLACE_CONNECTION;
            case NO_ANSWER -> Verdict.SUSPECT_SERVER;
        };
    }
}
