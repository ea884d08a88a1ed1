package org.jacinthwharf.process.gateway;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.control.ConfigurationFollower;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.request.dispatch.RouteTable;
import org.jacinthwharf.request.dispatch.ServiceObjectives;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.ConfigurationPush;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.FailureDomain;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.RevisionReport;
import org.jacinthwharf.wire.generated.Subscribe;

/**
 * The configuration in force in a gateway, in the form in which requests use it.
 *
 * <p>Used on the event loop only. Invariant: the revision in force never decreases.
 */
final class GatewayConfiguration {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final VmId mSelf;
    private final ConfigurationFollower mFollower;
    private final BiConsumer<VmId, Envelope> mSend;
    private final EventLoop mLoop;
    private Optional<RouteTable> mRoutes = Optional.empty();
    private Map<String, Model> mModels = Map.of();
    private Set<String> mClosedDomains = Set.of();

    GatewayConfiguration(
            VmId self,
            ConfigurationFollower follower,
            BiConsumer<VmId, Envelope> send,
            EventLoop loop) {
        mSelf = self;
        mFollower = follower;
        mSend = send;
        mLoop = loop;
    }

    void onUp(VmId member) {
        run(mFollower.onUp(member.value(), mLoop.nowNanos()));
    }

    void onDown(VmId member) {
        mFollower.onDown(member.value());
    }

    /** Processes a push; returns whether the revision in force changed. */
    boolean onPush(VmId member, ConfigurationPush push) {
        long before = mFollower.revision();
        run(mFollower.onPush(member.value(), push, mLoop.nowNanos()));
        return mFollower.revision() != before;
    }

    /** Runs periodic tasks; returns whether the revision in force changed. */
    boolean tick() {
        long before = mFollower.revision();
        run(mFollower.tick(mLoop.nowNanos()));
        return mFollower.revision() != before;
    }

    private void run(List<ConfigurationFollower.Action> actions) {
        for (ConfigurationFollower.Action action : actions) {
            if (action instanceof ConfigurationFollower.Action.Activate u) {
                activate(u.configuration());
            } else if (action instanceof ConfigurationFollower.Action.RequestSubscription a) {
                Subscribe subscribe = Subscribe.newBuilder().setRevision(a.revision()).build();
                mSend.accept(
                        VmId.of(a.member()), Envelope.newBuilder().setSubscribe(subscribe).build());
            } else if (action instanceof ConfigurationFollower.Action.Report r) {
                RevisionReport report =
                        RevisionReport.newBuilder()
                                .setVmId(mSelf.value())
                                .setRevision(mFollower.revision())
                                .build();
                mSend.accept(
                        VmId.of(r.member()),
                        Envelope.newBuilder().setRevisionReport(report).build());
            }
        }
    }

    private void activate(Configuration c) {
        if (c.hasRouting() && (mRoutes.isEmpty() || mRoutes.get().table() != c.getRouting())) {
            mRoutes = Optional.of(RouteTable.of(c.getRouting()));
        }
        Map<String, Model> models = new HashMap<>();
        c.getModelsList().forEach(m -> models.put(m.getId(), m));
        mModels = models;
        mClosedDomains =
                c.getFailureDomainsList().stream()
                        .filter(FailureDomain::getOut)
                        .map(FailureDomain::getId)
                        .collect(ImmutableSet.toImmutableSet());
        LOGGER.atInfo().log(
                "event=routing_in_force revision=%d routing=%d routes=%d closed=%s",
                c.getRevision(),
                c.getRouting().getNumber(),
                c.getRouting().getRoutesCount(),
                mClosedDomains);
    }

    /** Returns the routes; empty until a routing table is in force. */
    Optional<RouteTable> routes() {
        return mRoutes;
    }

    Optional<ServiceObjectives> serviceObjectives(String name) {
        return mRoutes.map(r -> r.services().get(name));
    }

    Optional<Model> model(String service) {
        return Optional.ofNullable(mModels.get(service));
    }

    Set<String> closedDomains() {
        return mClosedDomains;
    }

    Optional<Configuration> configuration() {
        return mFollower.configuration();
    }
}
