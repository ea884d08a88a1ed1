package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import org.jacinthwharf.id.LogText;
import org.jacinthwharf.request.dispatch.BackendServer;

/**
 * Finds out, for one call, whether a lost attempt may have crashed its server.
 *
 * <p>Used on the event loop only. Invariant: each lost attempt is recorded as evidence once its
 * check has ended, also if the call has ended before.
 */
final class LossCheck {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final CallSubjects mSubjects;
    private final CrashCheck mCrashCheck;
    private final CrashGuard mCrashGuard;

    LossCheck(CallSubjects subjects, CrashCheck crashCheck, CrashGuard crashGuard) {
        mSubjects = subjects;
        mCrashCheck = crashCheck;
        mCrashGuard = crashGuard;
    }

    /** Returns what a new connection to a server meets. */
    CompletableFuture<CrashCheck.Result> checkServer(BackendServer server) {
        return mCrashCheck.check(server.address().socketAddress());
    }

    /** Returns whether the lost attempt may have crashed its server, once that is known. */
    CompletableFuture<Boolean> record(
            CrashGuard.LostAttempt lost, CompletableFuture<CrashCheck.Result> check) {
        // The call may end, and its request be released, before the check.
        mSubjects.request();
        return check.thenApply(result -> mCrashGuard.onLost(mSubjects, lost, result))
                .exceptionally(
                        e -> {
                            logFailure(e);
                            return false;
                        });
    }

    /** Logs an exception in what follows a check. */
    Void logFailure(Throwable e) {
        LOGGER.atSevere().withCause(e).log(
                "event=crash_check_failed request=%s", LogText.of(mSubjects.requestId()));
        return null;
    }
}
