package org.jacinthwharf.request.dispatch;

import java.util.Set;
import org.jacinthwharf.wire.generated.ServerStatus;

/**
 * Decides which backend servers may be sent to, apart from their load and version.
 *
 * <p>Not thread-safe. Invariant: silence counts only while this gateway hears from control, since
 * otherwise the silence may be its own.
 */
public final class DispatchHealth {
    /** Three lost announcements and their delay. */
    private final long mSilenceLimitNanos;

    /** Time after the return of control in which every server has announced itself again. */
    private final long mContactGraceNanos;

    private Set<String> mClosedDomains = Set.of();
    private long mContactSinceNanos = Long.MAX_VALUE;

    /**
     * Creates rules.
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

    /** Takes note whether control is in contact. */
    public void onControlContact(boolean contact, long nowNanos) {
        if (!contact) {
            mContactSinceNanos = Long.MAX_VALUE;
        } else if (mContactSinceNanos == Long.MAX_VALUE) {
            mContactSinceNanos = nowNanos;
        }
    }

    /** Returns whether the server takes requests at all, even if not at this moment. */
    boolean isServing(BackendServer s) {
        return s.status() == ServerStatus.SERVING && !mClosedDomains.contains(s.failureDomain());
    }

    /** Returns whether the server takes requests and was heard from lately. */
    boolean isHeard(BackendServer s, long nowNanos) {
        return isServing(s) && !isSilent(s, nowNanos);
    }

    /** Returns whether the server stopped to announce itself. */
    public boolean isSilent(BackendServer s, long nowNanos) {
        boolean judged =
                mContactSinceNanos != Long.MAX_VALUE
                        && nowNanos - mContactSinceNanos > mContactGraceNanos;
        return judged && nowNanos - s.lastReceivedNanos() > mSilenceLimitNanos;
    }
}
