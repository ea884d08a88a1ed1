package org.jacinthwharf.process.moves;

import org.jacinthwharf.id.PoolId;

/** Records attempts as evidence for version moves. Called on the event loop only. */
public interface EvidenceSink {
    /** Records that an attempt was sent. */
    void onStart(PoolId pool, String route);

    /**
     * Records that an attempt ended.
     *
     * @param millis latency of its answer, or for how long it waited in vain
     */
    void onEnd(PoolId pool, String route, AttemptResult result, long millis);

    /** How the result of an attempt counts as evidence about its version. */
    enum AttemptResult {
        COMPLETE,
        FAILED,
        /**
         * The attempt ended without an answer, for whatever reason: its latency would have been
         * longer than it waited (a censored observation).
         */
        UNANSWERED,
        /**
         * The attempt did not run, or its end says nothing about its server. Routers also report
         * this result for a silent connection; gateways report {@link #FAILED} for a silent server.
         */
        INCONCLUSIVE
    }
}
