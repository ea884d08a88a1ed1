package org.jacinthwharf.process.router;

import static java.util.Comparator.comparing;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableSortedSet;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.process.membership.RegisteredServer;
import org.jacinthwharf.request.admission.RouterAdmission;
import org.jacinthwharf.request.admission.ServiceLedger;

/**
 * Writes what a router knows as JSON, for operators.
 *
 * <p>Used on the event loop only.
 */
final class RouterStatus {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final RouterIncarnation mSelf;
    private final ConfigurationDriver mConfiguration;
    private final MembershipDriver mMembership;
    private final RouterAdmission<RequestRun> mRouter;
    private final RequestRuns mRuns;
    private final ServiceLedger mLedger;

    RouterStatus(
            RouterIncarnation self,
            ConfigurationDriver configuration,
            MembershipDriver membership,
            RouterAdmission<RequestRun> router,
            RequestRuns runs,
            ServiceLedger ledger) {
        mSelf = self;
        mConfiguration = configuration;
        mMembership = membership;
        mRouter = router;
        mRuns = runs;
        mLedger = ledger;
    }

    /**
     * Returns the status, with the backend servers that this router owns and the service that each
     * customer received anywhere, in cost units divided by its weight.
     */
    String toJson() {
        ObjectNode status = JSON.createObjectNode();
        status.put("vmId", mSelf.vm().value())
                .put("incarnation", mSelf.incarnation())
                .put("revision", mConfiguration.revision())
                .put("validView", mMembership.hasView())
                .put("openRequests", mRuns.size())
                .put("waiting", mRouter.waiting());
        mMembership
                .view()
                .ifPresent(
                        v -> {
                            ObjectNode view = status.putObject("view");
                            view.put("epoch", v.epoch())
                                    .put("coordinator", v.coordinator().toString());
                            ArrayNode members = view.putArray("members");
                            v.members().forEach(m -> members.add(m.toString()));
                        });
        ArrayNode servers = status.putArray("backendServers");
        mMembership.servers().values().forEach(s -> servers.add(toJson(s)));
        ArrayNode customers = status.putArray("customers");
        for (CustomerId c :
                ImmutableSortedSet.copyOf(
                        comparing(CustomerId::value), mConfiguration.customers())) {
            customers
                    .addObject()
                    .put("id", c.value())
                    .put("weight", mLedger.weight(c))
                    .put("counter", mLedger.counter(c));
        }
        return status.toPrettyString() + "\n";
    }

    private ObjectNode toJson(RegisteredServer server) {
        return JSON.createObjectNode()
                .put("id", server.id().value())
                .put("owner", mSelf.vm().value())
                .put("model", server.announcement().getModel())
                .put("version", server.announcement().getVersion())
                .put("state", Ascii.toLowerCase(server.announcement().getState().name()))
                .put("cold", server.cold())
                .put("suspect", server.suspect())
                .put("limit", server.limit())
                .put("announcedRunning", server.announcement().getRunning())
                .put("runningHere", mRouter.running(server.id()));
    }
}
