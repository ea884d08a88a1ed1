package org.jacinthwharf.process.membership;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * Reports changes of the view and of the lease since the last report.
 *
 * <p>Invariant: reports of a lost and of a regained lease alternate. Not thread-safe.
 */
final class ViewReports {
    private View mLastReported;
    private boolean mLeaseHeld;

    /** Reports the end of the lease, if it was held. */
    Optional<ViewOutput> reportLeaseEnd() {
        if (!mLeaseHeld) {
            return Optional.empty();
        }
        mLeaseHeld = false;
        return Optional.of(new ViewOutput.LeaseLost());
    }

    /**
     * Reports a new view and a lease that began or ended; {@code view} is null before the first
     * view.
     */
    ImmutableList<ViewOutput> report(View view, boolean standalone) {
        ImmutableList.Builder<ViewOutput> out = ImmutableList.builder();
        if (view != null
                && (mLastReported == null
                        || mLastReported.epoch() != view.epoch()
                        || !mLastReported.coordinator().equals(view.coordinator()))) {
            mLastReported = view;
            out.add(new ViewOutput.Changed(view));
        }
        if (standalone) {
            reportLeaseEnd().ifPresent(out::add);
        } else if (!mLeaseHeld) {
            mLeaseHeld = true;
            out.add(new ViewOutput.LeaseGained(view));
        }
        return out.build();
    }
}
