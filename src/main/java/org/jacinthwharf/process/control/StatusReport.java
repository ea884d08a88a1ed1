package org.jacinthwharf.process.control;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.RaftStatus;
import org.jacinthwharf.process.settings.RouterPeer;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.Customer;
import org.jacinthwharf.wire.generated.FailureDomain;
import org.jacinthwharf.wire.generated.MemberId;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.VersionMove;

/**
 * Renders the configuration, the control group and the routers as JSON for operators.
 *
 * <p>Stateless and thread-safe. Invariant: the state of a failure domain is {@code in force} only
 * if every configured router has reported a revision at or after the failure domain's last change.
 */
final class StatusReport {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private StatusReport() {}

    /**
     * Renders the full status.
     *
     * @param confirmed whether a leader recently confirmed that the configuration is current
     * @param reportedRevisions last revision reported by each router; routers that have not
     *     reported are missing
     */
    static ObjectNode status(
            Configuration configuration,
            boolean confirmed,
            VmId self,
            RaftStatus log,
            List<RouterPeer> routers,
            Map<String, Long> reportedRevisions) {
        ObjectNode status = configuration(configuration);
        status.put("confirmed", confirmed);
        Map<String, Long> revisionByRouter = new TreeMap<>(reportedRevisions);
        routers.forEach(r -> revisionByRouter.putIfAbsent(r.vmId(), 0L));
        for (int i = 0; i < configuration.getFailureDomainsCount(); i++) {
            ObjectNode node = (ObjectNode) status.get("failureDomains").get(i);
            addState(node, configuration.getFailureDomains(i), routers, revisionByRouter);
        }
        status.set("control", control(self, log));
        ArrayNode routerNodes = status.putArray("routers");
        revisionByRouter.forEach(
                (vm, r) -> routerNodes.addObject().put("vmId", vm).put("revision", r));
        return status;
    }

    private static void addState(
            ObjectNode node,
            FailureDomain f,
            List<RouterPeer> routers,
            Map<String, Long> revisionByRouter) {
        ArrayNode laggingRouters = NODES.arrayNode();
        routers.stream()
                .map(RouterPeer::vmId)
                .filter(vm -> revisionByRouter.get(vm) < f.getChangedRevision())
                .sorted()
                .forEach(laggingRouters::add);
        node.put("state", laggingRouters.isEmpty() ? "in force" : "pending");
        node.set("unconfirmed", laggingRouters);
    }

    private static ObjectNode control(VmId self, RaftStatus log) {
        ObjectNode control = NODES.objectNode();
        control.put("self", self.value());
        control.put("role", Ascii.toLowerCase(log.role().name()));
        control.put("term", log.term());
        control.put("commitIndex", log.commitIndex());
        control.put("appliedIndex", log.appliedIndex());
        ArrayNode members = control.putArray("members");
        for (MemberId m : log.members()) {
            boolean isLeader = log.leader().map(l -> l.value().equals(m.getVmId())).orElse(false);
            members.addObject()
                    .put("vmId", m.getVmId())
                    .put("diskId", m.getDiskId())
                    .put("role", isLeader ? "leader" : "follower");
        }
        return control;
    }

    /** Renders the configuration only. */
    static ObjectNode configuration(Configuration configuration) {
        ObjectNode node = NODES.objectNode();
        node.put("revision", configuration.getRevision());
        ArrayNode customers = node.putArray("customers");
        for (Customer c : configuration.getCustomersList()) {
            customers
                    .addObject()
                    .put("id", c.getId())
                    .put("weight", c.getWeight())
                    .put("homeRegion", c.getHomeRegion());
        }
        ArrayNode failureDomains = node.putArray("failureDomains");
        for (FailureDomain f : configuration.getFailureDomainsList()) {
            failureDomains
                    .addObject()
                    .put("id", f.getId())
                    .put("region", f.getRegion())
                    .put("out", f.getOut())
                    .put("changedRevision", f.getChangedRevision());
        }
        ArrayNode models = node.putArray("models");
        for (Model m : configuration.getModelsList()) {
            models.addObject().put("id", m.getId()).put("currentVersion", m.getCurrentVersion());
        }
        node.set("moves", moves(configuration));
        return node;
    }

    /** Renders the latest version move of each model. */
    static ArrayNode moves(Configuration configuration) {
        ArrayNode moves = NODES.arrayNode();
        for (Model m : configuration.getModelsList()) {
            if (m.hasMove()) {
                moves.add(move(m.getId(), m.getMove()));
            }
        }
        return moves;
    }

    private static ObjectNode move(String model, VersionMove move) {
        return NODES.objectNode()
                .put("id", move.getId())
                .put("model", model)
                .put("fromVersion", move.getFromVersion())
                .put("toVersion", move.getToVersion())
                .put("phase", Ascii.toLowerCase(move.getPhase().name()))
                .put("shareBasisPoints", move.getShareBasisPoints())
                .put("startedMillis", move.getStartedMillis())
                .put("deadlineMillis", move.getDeadlineMillis())
                .put("reason", move.getReason());
    }
}
