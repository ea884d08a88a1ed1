package org.jacinthwharf.process.membership;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * Tells what changed for users of the view since the last report.
 *
 * <p>Invariant: reports of a lease that lapsed and of one that was regained alternate. Not
 * thread-safe.
 */
final class ViewReports {
    private View mReported;
    private boolean mHeld;

    /** Reports the end of a lease that was held. */
    Optional<ViewOutput> lapse() {
        if (!mHeld) {
            return Optional.empty();
        }
        mHeld = false;
        return Optional.of(new ViewOutput.Standalone());
    }

    /**
     * Reports a new view and a lease that began or ended; {@code view} may be null at the start.
     */
    ImmutableList<ViewOutput> report(View view, boolean standalone) {
        ImmutableList.Builder<ViewOutput> out = ImmutableList.builder();
        if (view != null
                && (mReported == null
                        || mReported.epoch() != view.epoch()
                        || !mReported.coordinator().equals(view.coordinator()))) {
            mReported = view;
            out.add(new ViewOutput.Changed(view));
        }
        if (standalone) {
            lapse().ifPresent(out::add);
        } else if (!mHeld) {
            mHeld = true;
            out.add(new ViewOutput.Regained(view));
        }
        return out.build();
    }
}
