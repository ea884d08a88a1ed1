package org.jacinthwharf.process.router;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The requests that this router has not answered yet.
 *
 * <p>Used on the event loop only.
 */
final class OpenRequests {
    private final Set<RequestExecution> mRequests = new LinkedHashSet<>();

    void add(RequestExecution request) {
        mRequests.add(request);
    }

    void remove(RequestExecution request) {
        mRequests.remove(request);
    }

    int size() {
        return mRequests.size();
    }

    /** Calls {@link RequestExecution#tick} for each request, which may end and remove requests. */
    void tick() {
        List.copyOf(mRequests).forEach(RequestExecution::tick);
    }
}
