package org.jacinthwharf.process.moves;

import org.jacinthwharf.id.PoolId;

/** Counts attempts for the verdict on versions. Called on the event loop only. */
public interface EvidenceSink {
    /** Counts an attempt that was sent. */
    void onStart(PoolId pool, String route);

    /** Counts the end of an attempt, {@code millis} milliseconds after it was sent. */
    void onEnd(PoolId pool, String route, CompletionStatus status, long millis);

    /** What the end of an attempt says about the version. */
    enum CompletionStatus {
        COMPLETE,
        FAILED,
        /** The attempt was cancelled, never reached the server, or its connection was silent. */
        WITHOUT_EVIDENCE
    }
}
