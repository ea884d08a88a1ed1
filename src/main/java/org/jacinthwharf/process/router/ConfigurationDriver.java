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
 * Follows the configuration and puts each revision in force in this router.
 *
 * <p>Used on the event loop only. Invariant: the revision in force never falls.
 */
final class ConfigurationDriver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final VmId mSelf;
    private final FailureDomainId mFailureDomain;
    private final ConfigurationFollower mFollower;
    private final ServiceLedger mLedger;
    private final RouterAdmission<RequestRun> mRouter;
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
            RouterAdmission<RequestRun> router,
            MembershipDriver membership,
            PeerLinks links,
            EventLoop loop) {
        mSelf = self;
        mFailureDomain = failureDomain;
        mFollower = follower;
        mLedger = ledger;
        mRouter = router;
        mMembership = membership;
        mLinks = links;
        mLoop = loop;
    }

    /** Takes note that a link to a control member is up. */
    void onControlUp(VmId member) {
        run(mFollower.onUp(member.value(), mLoop.nowNanos()));
    }

    /** Takes note that a link to a control member is down. */
    void onControlDown(VmId member) {
        mFollower.onDown(member.value());
    }

    /** Takes a push from a control member. */
    void onPush(VmId member, ConfigurationPush push) {
        run(mFollower.onPush(member.value(), push, mLoop.nowNanos()));
    }

    /** Takes the revision that another router reported. */
    void onPeerRevision(RevisionReport report) {
        mFollower.onPeerRevision(report.getRevision());
    }

    /** Called every second; tells the other routers the revision in force here. */
    void tick() {
        run(mFollower.tick(mLoop.nowNanos()));
        if (mFollower.revision() > 0) {
            Envelope report = report();
            mLinks.linkedRouters().forEach(r -> mLinks.sendToRouter(r, report));
        }
    }

    private Envelope report() {
        return Envelope.newBuilder()
                .setRevisionReport(
                        RevisionReport.newBuilder()
                                .setVmId(mSelf.value())
                                .setRevision(mFollower.revision()))
                .build();
    }

    private void run(List<ConfigurationFollower.Action> actions) {
        for (ConfigurationFollower.Action action : actions) {
            if (action instanceof ConfigurationFollower.Action.Use u) {
                activate(u.configuration());
            } else if (action instanceof ConfigurationFollower.Action.Ask a) {
                Subscribe subscribe = Subscribe.newBuilder().setRevision(a.revision()).build();
                mLinks.sendToControl(
                        VmId.of(a.member()), Envelope.newBuilder().setSubscribe(subscribe).build());
            } else if (action instanceof ConfigurationFollower.Action.Report r) {
                mLinks.sendToControl(VmId.of(r.member()), report());
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
        boolean ownOut = false;
        for (FailureDomain d : configuration.getFailureDomainsList()) {
            FailureDomainId id = FailureDomainId.of(d.getId());
            mRouter.onFailureDomainOut(id, d.getOut());
            if (id.equals(mFailureDomain)) {
                ownOut = d.getOut();
            }
        }
        mMembership.onDomainOut(ownOut);
        mServing = !ownOut;
        LOGGER.atInfo().log(
                "event=configuration_in_force revision=%d customers=%d models=%d out=%s",
                configuration.getRevision(), customers.size(), mModels.size(), ownOut);
    }

    /** Returns the customers of the configuration in force. */
    Set<CustomerId> customers() {
        return Collections.unmodifiableSet(mCustomers);
    }

    /** Returns whether there is a configuration and the failure domain is not out; any thread. */
    boolean isServing() {
        return mServing;
    }

    /** Returns the configuration in force. */
    Optional<Configuration> configuration() {
        return mFollower.configuration();
    }

    /** Returns the revision in force, 0 if there is none. */
    long revision() {
        return mFollower.revision();
    }

    /** Returns whether the customer is in the configuration. */
    boolean isCustomer(CustomerId customer) {
        return mCustomers.contains(customer);
    }

    /** Returns the model's entry in the configuration. */
    Optional<Model> model(ModelId model) {
        return Optional.ofNullable(mModels.get(model));
    }
}
