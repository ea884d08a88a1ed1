package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import java.net.InetAddress;
import org.jacinthwharf.connection.ServerAddress;
import org.jacinthwharf.id.LogText;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.membership.ServerDirectory;
import org.jacinthwharf.process.membership.ServerRecordCheck;
import org.jacinthwharf.request.dispatch.ServerTable;
import org.jacinthwharf.wire.generated.DirectoryUpdate;
import org.jacinthwharf.wire.generated.ServerRecord;

/** Applies directory updates to the table of backend servers. Used on the event loop only. */
final class DirectoryFollower {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ServerDirectory mDirectory;
    private final ServerTable mServerTable;
    private final InetAddress mVm;
    private final EventLoop mLoop;

    /**
     * Creates a follower.
     *
     * @param vm address of this VM; servers whose addresses are of another family are out of reach
     */
    DirectoryFollower(
            ServerDirectory directory, ServerTable serverTable, InetAddress vm, EventLoop loop) {
        mDirectory = directory;
        mServerTable = serverTable;
        mVm = vm;
        mLoop = loop;
    }

    private boolean isReachable(ServerRecord record) {
        boolean reachable =
                ServerAddress.parse(record.getAddress())
                        .filter(a -> a.isSameFamilyAs(mVm))
                        .isPresent();
        if (!reachable) {
            LOGGER.atWarning().log(
                    "event=server_record_ignored reason='out of reach: %s'", record.getAddress());
        }
        return reachable;
    }

    void onUpdate(DirectoryUpdate update) {
        long now = mLoop.nowNanos();
        for (ServerRecord r : ServerRecordCheck.validRecords(update)) {
            if (!isReachable(r)) {
                continue;
            }
            ServerDirectory.Change change = mDirectory.merge(r, now);
            if (change == ServerDirectory.Change.NONE) {
                continue;
            }
            ServerDirectory.Entry e = mDirectory.find(r.getServer()).orElseThrow();
            ServerRecord merged = e.record();
            mServerTable.update(merged, e.lastReceivedNanos(), e.coldUntilNanos());
            if (change == ServerDirectory.Change.CHANGED) {
                LOGGER.atInfo().log(
                        "event=server_known server=%s service=%s address=%s status=%s version=%s"
                                + " domain=%s born=%d sequence=%d cold_ms=%d age_ms=%d",
                        merged.getServer(),
                        LogText.of(merged.getService()),
                        merged.getAddress(),
                        merged.getStatus(),
                        LogText.of(merged.getVersion()),
                        LogText.of(merged.getFailureDomain()),
                        merged.getBornMillis(),
                        merged.getSequence(),
                        merged.getColdLeftMillis(),
                        r.getAgeMillis());
            }
        }
        mDirectory.expire(now);
    }
}
