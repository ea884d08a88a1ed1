package org.jacinthwharf.process.moves;

import org.jacinthwharf.id.PoolId;

/** Records attempts as evidence for version moves. Called on the event loop only. */
public interface EvidenceSink {
    /** Records that an attempt was sent. */
    void onStart(PoolId pool, String route);

    /** Records that an attempt ended {@code millis} milliseconds after it was sent. */
    void onEnd(PoolId pool, String route, AttemptResult result, long millis);

    /** How the result of an attempt counts as evidence about its version. */
    enum AttemptResult {
        COMPLETE,
        FAILED,
        /**
         * The attempt was cancelled or did not run. Routers also report this result for a silent
         * connection; gateways report {@link #FAILED} for a silent server.
         */
        INCONCLUSIVE
    }
}
