package org.jacinthwharf.request.admission;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.RunningReport;

/**
 * Builds a router's reports of its running requests, one for each owner.
 *
 * <p>Invariant: a report lists every request that runs at a server whose slots the receiving owner
 * may track, since the owner frees the slots that are not listed. Not thread-safe.
 */
final class RunningReports<R> {
    private final RouterIncarnation mSelf;
    private final RunningRequests<R> mRunning;
    private final Function<Slot, Optional<VmId>> mOwnerOf;
    private final Function<VmId, OwnerMessageTracker> mTrackers;
    private long mNumber;

    RunningReports(
            RouterIncarnation self,
            RunningRequests<R> running,
            Function<Slot, Optional<VmId>> ownerOf,
            Function<VmId, OwnerMessageTracker> trackers) {
        mSelf = self;
        mRunning = running;
        mOwnerOf = ownerOf;
        mTrackers = trackers;
    }

    /**
     * Returns the reports to all owners of servers at which requests run, by owner.
     *
     * @param additionalOwners owners that get a report even if nothing runs at their servers,
     *     because one of their grants may have been lost
     */
    Map<VmId, Envelope> buildAll(long epoch, long closedSequence, Set<VmId> additionalOwners) {
        return build(epoch, closedSequence, additionalOwners, owner -> true);
    }

    /** Returns the report to one owner. */
    Envelope buildFor(long epoch, long closedSequence, VmId owner) {
        return build(epoch, closedSequence, Set.of(owner), owner::equals).get(owner);
    }

    private Map<VmId, Envelope> build(
            long epoch, long closedSequence, Set<VmId> additionalOwners, Predicate<VmId> included) {
        mNumber++;
        Map<VmId, RunningReport.Builder> reports = new TreeMap<>();
        additionalOwners.forEach(owner -> reports.put(owner, RunningReport.newBuilder()));
        for (BackendServerId server : mRunning.servers()) {
            // Slots of a server in another failure domain may have been granted by different
            // owners; the report to each of these owners lists all slots.
            Set<VmId> owners = new HashSet<>();
            mRunning.atServer(server).forEach(r -> mOwnerOf.apply(r.slot()).ifPresent(owners::add));
            owners.stream()
                    .filter(included)
                    .forEach(
                            owner ->
                                    reports.computeIfAbsent(owner, o -> RunningReport.newBuilder())
                                            .addAllServers(mRunning.reportEntries(server)));
        }
        Map<VmId, Envelope> envelopes = new TreeMap<>();
        reports.forEach(
                (owner, report) -> {
                    OwnerMessageTracker tracker = mTrackers.apply(owner);
                    report.setRouter(mSelf.vm().value())
                            .setRouterIncarnation(mSelf.incarnation())
                            .setViewEpoch(epoch)
                            .setClosedDemandSequence(closedSequence)
                            .setClosedGrantNumber(tracker.grantsSeen())
                            .setOwnerIncarnation(tracker.ownerIncarnation())
                            .setReturnsSent(tracker.returnsSent())
                            .setNumber(mNumber);
                    envelopes.put(owner, Envelope.newBuilder().setRunningReport(report).build());
                });
        return envelopes;
    }
}
