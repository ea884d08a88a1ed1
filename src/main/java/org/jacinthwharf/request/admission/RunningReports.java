package org.jacinthwharf.request.admission;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.RunningReport;

/** Builds a router's reports of what it runs, one for each owner. */
final class RunningReports {
    private RunningReports() {}

    /**
     * Returns the reports by owner.
     *
     * @param also owners that get a report even if nothing runs at their servers, because a grant
     *     of theirs may have been lost
     */
    static <R> Map<VmId, Envelope> build(
            RouterIncarnation self,
            long epoch,
            long closedSequence,
            RunningRequests<R> running,
            Function<Slot, Optional<VmId>> ownerOf,
            Set<VmId> also) {
        Map<VmId, RunningReport.Builder> reports = new TreeMap<>();
        also.forEach(owner -> reports.put(owner, RunningReport.newBuilder()));
        for (BackendServerId server : running.servers()) {
            Slot any = running.at(server).iterator().next().slot();
            ownerOf.apply(any)
                    .ifPresent(
                            owner ->
                                    reports.computeIfAbsent(owner, o -> RunningReport.newBuilder())
                                            .addAllServers(running.report(server)));
        }
        Map<VmId, Envelope> envelopes = new TreeMap<>();
        reports.forEach(
                (owner, report) -> {
                    report.setRouter(self.vm().value())
                            .setRouterIncarnation(self.incarnation())
                            .setViewEpoch(epoch)
                            .setClosedDemandSequence(closedSequence);
                    envelopes.put(owner, Envelope.newBuilder().setRunningReport(report).build());
                });
        return envelopes;
    }
}
