package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.util.List;

/**
 * Detects outliers: backend servers that fail a far higher fraction of their requests than the
 * other servers of their service, though they announce themselves and have successes in between.
 *
 * <p>Stateless and thread-safe. Invariant: if all servers fail alike, none is an outlier, since the
 * cause is probably a common one.
 */
final class PeerComparison {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Fewer failures within the window may be coincidence. */
    private static final int MIN_FAILURES = 4;

    /** With a lower fraction of failures, a server is worth more in use than ejected. */
    private static final double MIN_FAILURE_FRACTION = 0.2;

    /** Multiple of the peers' fraction of failures above which a server is an outlier. */
    private static final double MIN_RATIO_TO_PEERS = 3;

    private PeerComparison() {}

    /** Returns the servers of one service to eject, and logs the reason. */
    static ImmutableList<BackendServer> outliers(List<BackendServer> servers, long nowNanos) {
        int answers = servers.stream().mapToInt(s -> s.answers(nowNanos)).sum();
        int failed = servers.stream().mapToInt(s -> s.failedAnswers(nowNanos)).sum();
        ImmutableList.Builder<BackendServer> outliers = ImmutableList.builder();
        for (BackendServer s : servers) {
            int own = s.failedAnswers(nowNanos);
            if (own < MIN_FAILURES) {
                continue;
            }
            double failureFraction = failureFraction(own, s.answers(nowNanos));
            double peersFraction = failureFraction(failed - own, answers - s.answers(nowNanos));
            if (failureFraction >= MIN_FAILURE_FRACTION
                    && failureFraction > MIN_RATIO_TO_PEERS * peersFraction) {
                LOGGER.atInfo().log(
                        "event=server_outlier server=%s failed=%d answers=%d"
                                + " peers_failed_part=%.3f",
                        s, own, s.answers(nowNanos), peersFraction);
                outliers.add(s);
            }
        }
        return outliers.build();
    }

    private static double failureFraction(int failed, int answers) {
        return answers == 0 ? 0 : (double) failed / answers;
    }
}
