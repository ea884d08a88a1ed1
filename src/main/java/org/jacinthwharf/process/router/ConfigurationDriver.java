package org.jacinthwharf.process.router;

import com.google.common.flogger.FluentLogger;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.control.ConfigurationFollower;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.request.admission.RouterAdmission;
import org.jacinthwharf.request.admission.ServiceLedger;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.ConfigurationPush;
import org.jacinthwharf.wire.generated.Customer;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.FailureDomain;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.RevisionReport;
import org.jacinthwharf.wire.generated.Subscribe;

/**
 * Executes the actions of the {@link ConfigurationFollower} and activates each new configuration in
 * this router.
 *
 * <p>Used on the event loop only, except {@link #isServing}. Invariant: the active revision never
 * decreases.
 */
final class ConfigurationDriver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final VmId mVmId;
    private final FailureDomainId mFailureDomain;
    private final ConfigurationFollower mFollower;
    private final ServiceLedger mLedger;
    private final RouterAdmission<RequestExecution> mRouterAdmission;
    private final MembershipDriver mMembership;
    private final PeerLinks mLinks;
    private final EventLoop mLoop;
    private final Map<ModelId, Model> mModels = new HashMap<>();
    private Set<CustomerId> mCustomers = Set.of();
    private volatile boolean mServing;

    ConfigurationDriver(
            VmId self,
            FailureDomainId failureDomain,
            ConfigurationFollower follower,
            ServiceLedger ledger,
            RouterAdmission<RequestExecution> routerAdmission,
            MembershipDriver membership,
            PeerLinks links,
            EventLoop loop) {
        mVmId = self;
        mFailureDomain = failureDomain;
        mFollower = follower;
        mLedger = ledger;
        mRouterAdmission = routerAdmission;
        mMembership = membership;
        mLinks = links;
        mLoop = loop;
    }

    /** Called when a link to a control member has opened. */
    void onControlUp(VmId member) {
        execute(mFollower.onUp(member.value(), mLoop.nowNanos()));
    }

    /** Called when a link to a control member has closed. */
    void onControlDown(VmId member) {
        mFollower.onDown(member.value());
    }

    /** Handles a configuration push from a control member. */
    void onPush(VmId member, ConfigurationPush push) {
        execute(mFollower.onPush(member.value(), push, mLoop.nowNanos()));
    }

    /** Records the revision that another router reports. */
    void onPeerRevision(RevisionReport report) {
        mFollower.recordPeerRevision(report.getRevision());
    }

    /** Advances the follower and sends the active revision to all routers; called every second. */
    void tick() {
        execute(mFollower.tick(mLoop.nowNanos()));
        if (mFollower.revision() > 0) {
            Envelope report = buildRevisionReport();
            mLinks.linkedRouters().forEach(r -> mLinks.sendToRouter(r, report));
        }
    }

    private Envelope buildRevisionReport() {
        return Envelope.newBuilder()
                .setRevisionReport(
                        RevisionReport.newBuilder()
                                .setVmId(mVmId.value())
                                .setRevision(mFollower.revision()))
                .build();
    }

    private void execute(List<ConfigurationFollower.Action> actions) {
        for (ConfigurationFollower.Action action : actions) {
            if (action instanceof ConfigurationFollower.Action.Activate u) {
                activate(u.configuration());
            } else if (action instanceof ConfigurationFollower.Action.RequestSubscription a) {
                Subscribe subscribe = Subscribe.newBuilder().setRevision(a.revision()).build();
                mLinks.sendToControl(
                        VmId.of(a.member()), Envelope.newBuilder().setSubscribe(subscribe).build());
            } else if (action instanceof ConfigurationFollower.Action.Report r) {
                mLinks.sendToControl(VmId.of(r.member()), buildRevisionReport());
            }
        }
    }

    private void activate(Configuration configuration) {
        Set<CustomerId> customers = new HashSet<>();
        for (Customer c : configuration.getCustomersList()) {
            CustomerId id = CustomerId.of(c.getId());
            customers.add(id);
            mLedger.setWeight(id, c.getWeight());
        }
        mCustomers = customers;
        mModels.clear();
        for (Model m : configuration.getModelsList()) {
            mModels.put(ModelId.of(m.getId()), m);
        }
        boolean outOfService = false;
        for (FailureDomain d : configuration.getFailureDomainsList()) {
            FailureDomainId id = FailureDomainId.of(d.getId());
            mRouterAdmission.setOutOfService(id, d.getOut());
            if (id.equals(mFailureDomain)) {
                outOfService = d.getOut();
            }
        }
        mMembership.setDomainOutOfService(outOfService);
        mServing = !outOfService;
        LOGGER.atInfo().log(
                "event=configuration_in_force revision=%d customers=%d models=%d out=%s",
                configuration.getRevision(), customers.size(), mModels.size(), outOfService);
    }

    /** Returns the customers of the active configuration. */
    Set<CustomerId> customers() {
        return Collections.unmodifiableSet(mCustomers);
    }

    /**
     * Returns whether a configuration is active and this failure domain is in service.
     *
     * <p>May be called from any thread.
     */
    boolean isServing() {
        return mServing;
    }

    /** Returns the active configuration, if there is one. */
    Optional<Configuration> configuration() {
        return mFollower.configuration();
    }

    /** Returns the active revision, 0 if there is none. */
    long revision() {
        return mFollower.revision();
    }

    /** Returns whether the customer is in the configuration. */
    boolean isCustomer(CustomerId customer) {
        return mCustomers.contains(customer);
    }

    /** Returns the configuration of a model, if it exists. */
    Optional<Model> model(ModelId model) {
        return Optional.ofNullable(mModels.get(model));
    }
}
