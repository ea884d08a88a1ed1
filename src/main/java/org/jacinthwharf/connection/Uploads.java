package org.jacinthwharf.connection;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The large bodies that callers are sending, and the memory that they share with other bodies.
 *
 * <p>Used on one event loop only. Invariant: an upload that has stalled does not keep others out.
 */
public final class Uploads {
    /** Far more than the time between the packets of a caller that is sending. */
    static final Duration STALL_TIME = Duration.ofSeconds(1);

    private final BufferBudget mBudget;
    private final LongSupplier mNanoTime;
    private final Set<RequestAssembler> mOpen = new LinkedHashSet<>();

    /** Creates an instance without uploads. */
    public Uploads(BufferBudget budget, LongSupplier nanoTime) {
        mBudget = budget;
        mNanoTime = nanoTime;
    }

    BufferBudget budget() {
        return mBudget;
    }

    long nowNanos() {
        return mNanoTime.getAsLong();
    }

    /** Takes the memory of a body, if need be from uploads that have stalled. */
    boolean tryReserve(BudgetedBuffer body, int length) {
        return body.tryReserve(length) || (refuseStalled() && body.tryReserve(length));
    }

    private boolean refuseStalled() {
        long limit = nowNanos() - STALL_TIME.toNanos();
        ImmutableList<RequestAssembler> stalled =
                mOpen.stream()
                        .filter(u -> u.lastProgressNanos() < limit)
                        .collect(ImmutableList.toImmutableList());
        stalled.forEach(RequestAssembler::refuseStalled);
        return !stalled.isEmpty();
    }

    void onBegun(RequestAssembler upload) {
        mOpen.add(upload);
    }

    void onEnded(RequestAssembler upload) {
        mOpen.remove(upload);
    }
}
