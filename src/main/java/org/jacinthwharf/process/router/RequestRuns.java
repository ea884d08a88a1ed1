package org.jacinthwharf.process.router;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The requests that this router has not answered yet.
 *
 * <p>Used on the event loop only.
 */
final class RequestRuns {
    private final Set<RequestRun> mRuns = new LinkedHashSet<>();

    void add(RequestRun run) {
        mRuns.add(run);
    }

    void remove(RequestRun run) {
        mRuns.remove(run);
    }

    int size() {
        return mRuns.size();
    }

    /** Lets each request look at the time; a request may end while this runs. */
    void tick() {
        List.copyOf(mRuns).forEach(RequestRun::tick);
    }
}
