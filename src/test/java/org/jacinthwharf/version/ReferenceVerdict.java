package org.jacinthwharf.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jacinthwharf.wire.generated.RouteEvidence;

/**
 * Determines when the evidence against a version suffices, by section 3.7 of the design page and
 * the true rates of the simulation: false positive rate 0.001, false negative rate 0.01, over the
 * last 60 s and since the start, per route and overall.
 */
final class ReferenceVerdict {
    private final boolean mSlow;
    private final String mRouter;
    private final Map<String, List<long[]>> mSamples = new HashMap<>();
    private final Map<String, long[]> mSeen = new HashMap<>();

    /** Creates a verdict over the requests of one router, or of all routers if the id is empty. */
    ReferenceVerdict(boolean slow, String router) {
        mRouter = router;
        mSlow = slow;
    }

    boolean isBad(MoveSimulation simulation) {
        long[] overall = new long[2];
        boolean bad = false;
        for (String route : MoveSimulation.ROUTES) {
            long[] counts = new long[2];
            simulation.mCounts.forEach(
                    (key, evidence) -> {
                        if (key.startsWith(mRouter) && key.endsWith(route + "v2")) {
                            counts[0] += evidence.getRequests();
                            counts[1] += badOf(evidence);
                        }
                    });
            overall[0] += counts[0];
            overall[1] += counts[1];
            bad |= addSample(route, counts);
        }
        return bad | addSample("", overall);
    }

    private long badOf(RouteEvidence.Builder evidence) {
        return mSlow ? evidence.getLatencyBuckets(44) : evidence.getErrors();
    }

    private boolean addSample(String route, long[] counts) {
        long[] seen = mSeen.getOrDefault(route, new long[2]);
        mSeen.put(route, counts);
        List<long[]> samples = mSamples.computeIfAbsent(route, ignored -> new ArrayList<>());
        samples.add(new long[] {counts[0] - seen[0], counts[1] - seen[1]});
        double limit = Math.log(0.99 / 0.001);
        int size = samples.size();
        return logLikelihoodRatio(samples) >= limit
                || logLikelihoodRatio(samples.subList(Math.max(0, size - 60), size)) >= limit;
    }

    private double logLikelihoodRatio(List<long[]> samples) {
        double good = mSlow ? 0.05 : 0.02;
        double bad = mSlow ? 0.25 : 0.07;
        return samples.stream()
                .mapToDouble(
                        sample ->
                                sample[1] * Math.log(bad / good)
                                        + (sample[0] - sample[1])
                                                * Math.log((1 - bad) / (1 - good)))
                .sum();
    }
}
