package org.jacinthwharf.request.dispatch;

import java.util.Set;
import org.jacinthwharf.wire.generated.ServerStatus;

/**
 * Decides which backend servers may be sent requests, apart from their load and version.
 *
 * <p>Not thread-safe. Invariant: missing announcements count only while this gateway is in contact
 * with control, since otherwise the gateway itself may be cut off.
 */
public final class DispatchHealth {
    /** Three lost announcements and the delay of the next one. */
    private final long mSilenceLimitNanos;

    /** Time after contact with control is regained within which every server announces itself. */
    private final long mContactGraceNanos;

    private Set<String> mClosedDomains = Set.of();
    private long mContactSinceNanos = Long.MAX_VALUE;

    /**
     * Creates health rules without closed failure domains or contact with control.
     *
     * @param announceIntervalNanos interval at which servers announce themselves
     */
    public DispatchHealth(long announceIntervalNanos) {
        mSilenceLimitNanos = 7 * announceIntervalNanos / 2;
        mContactGraceNanos = 3 * announceIntervalNanos;
    }

    /** Sets the failure domains that are out of service. */
    public void setClosedDomains(Set<String> domains) {
        mClosedDomains = Set.copyOf(domains);
    }

    /** Records whether control is in contact. */
    public void onControlContact(boolean contact, long nowNanos) {
        if (!contact) {
            mContactSinceNanos = Long.MAX_VALUE;
        } else if (mContactSinceNanos == Long.MAX_VALUE) {
            mContactSinceNanos = nowNanos;
        }
    }

    /**
     * Returns whether the server announces that it serves, says nothing else in its answers, and
     * its failure domain is not closed.
     */
    boolean isServing(BackendServer s) {
        return s.status() == ServerStatus.SERVING
                && !s.isLeaving()
                && !mClosedDomains.contains(s.failureDomain());
    }

    /** Returns whether the server is serving, has announced itself recently and is not paused. */
    public boolean isAvailable(BackendServer s, long nowNanos) {
        return isServing(s) && !isSilent(s, nowNanos) && !s.isPaused(nowNanos);
    }

    /** Returns whether the server runs and can be reached, even if it is about to leave. */
    boolean isRunning(BackendServer s, long nowNanos) {
        return s.status() != ServerStatus.GONE && !s.isUnreachable() && !isSilent(s, nowNanos);
    }

    /** Returns whether the server has stopped announcing itself. */
    public boolean isSilent(BackendServer s, long nowNanos) {
        boolean silenceCounts =
                mContactSinceNanos != Long.MAX_VALUE
                        && nowNanos - mContactSinceNanos > mContactGraceNanos;
        return silenceCounts && nowNanos - s.lastReceivedNanos() > mSilenceLimitNanos;
    }
}
