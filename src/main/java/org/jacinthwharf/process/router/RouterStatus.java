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
 * Formats the status of a router as JSON for operators.
 *
 * <p>Used on the event loop only.
 */
final class RouterStatus {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final RouterIncarnation mSelf;
    private final ConfigurationDriver mConfiguration;
    private final MembershipDriver mMembership;
    private final RouterAdmission<RequestExecution> mRouterAdmission;
    private final OpenRequests mOpenRequests;
    private final ServiceLedger mLedger;

    RouterStatus(
            RouterIncarnation self,
            ConfigurationDriver configuration,
            MembershipDriver membership,
            RouterAdmission<RequestExecution> routerAdmission,
            OpenRequests openRequests,
            ServiceLedger ledger) {
        mSelf = self;
        mConfiguration = configuration;
        mMembership = membership;
        mRouterAdmission = routerAdmission;
        mOpenRequests = openRequests;
        mLedger = ledger;
    }

    /**
     * Returns the status. It includes the backend servers that are registered at this router and
     * the service that each customer has received from all routers, in cost units divided by the
     * customer's weight.
     */
    String toJson() {
        ObjectNode status = JSON.createObjectNode();
        status.put("vmId", mSelf.vm().value())
                .put("incarnation", mSelf.incarnation())
                .put("revision", mConfiguration.revision())
                .put("validView", mMembership.hasView())
                .put("openRequests", mOpenRequests.size())
                .put("waiting", mRouterAdmission.waiting());
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
                .put("runningHere", mRouterAdmission.running(server.id()));
    }
}
