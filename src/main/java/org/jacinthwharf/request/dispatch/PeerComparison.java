package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.util.List;

/**
 * Finds backend servers that fail far more of their requests than the others of their service,
 * though they announce themselves and answer often enough in between.
 *
 * <p>Stateless and thread-safe. Invariant: servers that all fail alike are all kept, since then the
 * cause is hardly theirs.
 */
final class PeerComparison {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Fewer failures within the window may be chance. */
    private static final int LEAST_FAILURES = 4;

    /** Below this part of failed answers, a server does more good than harm. */
    private static final double LEAST_FAILED_PART = 0.2;

    /** How many times the peers' part of failed answers is taken for a fault of the server. */
    private static final double TIMES_PEERS = 3;

    private PeerComparison() {}

    /** Returns the servers of one service to leave out, and logs why. */
    static ImmutableList<BackendServer> outliers(List<BackendServer> servers, long nowNanos) {
        int answers = servers.stream().mapToInt(s -> s.answers(nowNanos)).sum();
        int failed = servers.stream().mapToInt(s -> s.failedAnswers(nowNanos)).sum();
        ImmutableList.Builder<BackendServer> outliers = ImmutableList.builder();
        for (BackendServer s : servers) {
            int own = s.failedAnswers(nowNanos);
            if (own < LEAST_FAILURES) {
                continue;
            }
            double part = part(own, s.answers(nowNanos));
            double peers = part(failed - own, answers - s.answers(nowNanos));
            if (part >= LEAST_FAILED_PART && part > TIMES_PEERS * peers) {
                LOGGER.atInfo().log(
                        "event=server_outlier server=%s failed=%d answers=%d"
                                + " peers_failed_part=%.3f",
                        s, own, s.answers(nowNanos), peers);
                outliers.add(s);
            }
        }
        return outliers.build();
    }

    private static double part(int failed, int answers) {
        return answers == 0 ? 0 : (double) failed / answers;
    }
}
