package org.jacinthwharf.process.control;

import java.util.Optional;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.VersionId;
import org.jacinthwharf.request.dispatch.RoutingTableCheck;
import org.jacinthwharf.version.VersionSplit;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.ConfigurationDelta;
import org.jacinthwharf.wire.generated.Customer;
import org.jacinthwharf.wire.generated.FailureDomain;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.MovePhase;
import org.jacinthwharf.wire.generated.MoveStep;
import org.jacinthwharf.wire.generated.RoutingTable;
import org.jacinthwharf.wire.generated.Service;
import org.jacinthwharf.wire.generated.VersionMove;

/**
 * Decides which configuration change a command makes.
 *
 * <p>Not thread-safe; reads the state it was given and changes nothing. Deterministic: the time is
 * the one in the command.
 */
final class ChangeRules {
    private static final int WHOLE_SHARE = 10_000;
    // A new version may get at most 5% of its route's traffic until evidence is in (G5).
    private static final int CANARY_SHARE = 500;

    private final ConfigurationState mState;

    ChangeRules(ConfigurationState state) {
        mState = state;
    }

    /** What a command does to the configuration. */
    sealed interface Decision {
        /** The command makes a change. */
        record Change(ConfigurationDelta delta) implements Decision {}

        /** The command asks for what is already the case. */
        record NoChange() implements Decision {}

        /** The command is refused. */
        record Refused(String detail) implements Decision {}
    }

    Decision decide(Command command) {
        return switch (command.getChangeCase()) {
            case PUT_CUSTOMER -> putCustomer(command.getPutCustomer());
            case REMOVE_CUSTOMER -> removeCustomer(command.getRemoveCustomer());
            case PUT_FAILURE_DOMAIN -> putFailureDomain(command.getPutFailureDomain());
            case PUT_MODEL -> putModel(command.getPutModel());
            case REMOVE_MODEL -> removeModel(command.getRemoveModel());
            case REPLACE_ROUTING -> replaceRouting(command.getReplaceRouting());
            case START_MOVE -> startMove(command);
            case MOVE_STEP -> moveStep(command.getMoveStep(), command.getNowMillis());
            default -> refused("the command has no change");
        };
    }

    /**
     * Replaces the routing table by one with a higher number. One with a lower or equal number was
     * overtaken, or arrived before; it is accepted and changes nothing.
     */
    private Decision replaceRouting(RoutingTable table) {
        Optional<String> problem = RoutingTableCheck.problem(table);
        if (problem.isPresent()) {
            return refused("%s", problem.get());
        }
        if (mState.routing().filter(r -> r.getNumber() >= table.getNumber()).isPresent()) {
            return new Decision.NoChange();
        }
        ConfigurationDelta.Builder delta = delta().setRouting(table);
        for (Service s : table.getServicesList()) {
            if (ModelId.parse(s.getName()).isEmpty()) {
                return refused("malformed service name '%s'", s.getName());
            }
            if (mState.model(s.getName()) == null) {
                delta.addModels(
                        Model.newBuilder()
                                .setId(s.getName())
                                .setCurrentVersion(VersionSplit.VERSION_BEFORE_MOVES));
            }
        }
        return change(delta);
    }

    private Decision putCustomer(Customer customer) {
        if (CustomerId.parse(customer.getId()).isEmpty()) {
            return refused("malformed customer id '%s'", customer.getId());
        }
        if (!(customer.getWeight() > 0) || Double.isInfinite(customer.getWeight())) {
            return refused("weight must be a positive number, not %s", customer.getWeight());
        }
        return change(delta().addCustomers(customer));
    }

    private Decision removeCustomer(String id) {
        return mState.customer(id) == null
                ? refused("unknown customer '%s'", id)
                : change(delta().addRemovedCustomers(id));
    }

    // Only a command that names a region may add a failure domain, so a misspelt id in an order to
    // take one out is refused.
    private Decision putFailureDomain(FailureDomain order) {
        FailureDomain known = mState.failureDomain(order.getId());
        if (known == null && order.getRegion().isEmpty()) {
            return refused("unknown failure domain '%s'", order.getId());
        }
        // An order to add one that is out would put it back into service unnoticed.
        if (known != null && !order.getRegion().isEmpty()) {
            return refused("failure domain '%s' exists", order.getId());
        }
        if (FailureDomainId.parse(order.getId()).isEmpty()) {
            return refused("malformed failure domain id '%s'", order.getId());
        }
        FailureDomain.Builder changed = order.toBuilder();
        if (known != null) {
            changed.setRegion(known.getRegion());
        }
        changed.setChangedRevision(mState.revision() + 1);
        return change(delta().addFailureDomains(changed));
    }

    private Decision putModel(Model order) {
        if (ModelId.parse(order.getId()).isEmpty()) {
            return refused("malformed model id '%s'", order.getId());
        }
        if (VersionId.parse(order.getCurrentVersion()).isEmpty()) {
            return refused("malformed version '%s'", order.getCurrentVersion());
        }
        Model known = mState.model(order.getId());
        if (known == null) {
            return change(delta().addModels(order.toBuilder().clearMove()));
        }
        if (moving(known)) {
            return refused("a version move of model '%s' is under way", order.getId());
        }
        return change(
                delta().addModels(known.toBuilder().setCurrentVersion(order.getCurrentVersion())));
    }

    private Decision removeModel(String id) {
        Model known = mState.model(id);
        if (known == null) {
            return refused("unknown model '%s'", id);
        }
        return moving(known)
                ? refused("a version move of model '%s' is under way", id)
                : change(delta().addRemovedModels(id));
    }

    private Decision startMove(Command command) {
        VersionMove order = command.getStartMove();
        Model model = mState.model(order.getModel());
        if (model == null) {
            return refused("unknown model '%s'", order.getModel());
        }
        if (moving(model)) {
            return refused(
                    "version move '%s' of model '%s' is under way",
                    model.getMove().getId(), model.getId());
        }
        if (VersionId.parse(order.getToVersion()).isEmpty()) {
            return refused("malformed version '%s'", order.getToVersion());
        }
        if (order.getToVersion().equals(model.getCurrentVersion())) {
            return refused("model '%s' already has this version", model.getId());
        }
        if (order.getDeadlineMillis() <= command.getNowMillis()) {
            return refused("the deadline is in the past");
        }
        VersionMove.Builder move =
                order.toBuilder()
                        .setId(order.getId().isEmpty() ? command.getCommandId() : order.getId())
                        .setFromVersion(model.getCurrentVersion())
                        .setStartedMillis(command.getNowMillis())
                        .setPhase(MovePhase.CANARY)
                        .setPhaseSinceMillis(command.getNowMillis())
                        // The supervisor starts the canary once it knows the old version's rates.
                        .setShareBasisPoints(0)
                        .clearReason();
        return change(delta().addModels(model.toBuilder().setMove(move)));
    }

    private Decision moveStep(MoveStep step, long nowMillis) {
        Model model = mState.model(step.getModel());
        if (model == null || !model.getMove().getId().equals(step.getMoveId())) {
            return refused("unknown move '%s' of model '%s'", step.getMoveId(), step.getModel());
        }
        VersionMove move = model.getMove();
        int share = share(step);
        if (step.getPhase() == move.getPhase() && share == move.getShareBasisPoints()) {
            return new Decision.NoChange();
        }
        if (!moving(model)) {
            return refused("move '%s' has ended: %s", move.getId(), move.getPhase());
        }
        if (step.getPhase() == MovePhase.CANARY && share > CANARY_SHARE) {
            return refused("share %s of move '%s' is too large for a canary", share, move.getId());
        }
        if (step.getPhase().getNumber() < move.getPhase().getNumber() || share > WHOLE_SHARE) {
            return refused("move '%s' cannot go to %s, %s", move.getId(), step.getPhase(), share);
        }
        VersionMove.Builder next =
                move.toBuilder()
                        .setPhase(step.getPhase())
                        .setShareBasisPoints(share)
                        .setReason(step.getReason());
        if (step.getPhase() != move.getPhase()) {
            next.setPhaseSinceMillis(nowMillis);
        }
        Model.Builder changed = model.toBuilder().setMove(next);
        if (step.getPhase() == MovePhase.DONE) {
            changed.setCurrentVersion(move.getToVersion());
        }
        return change(delta().addModels(changed));
    }

    private static int share(MoveStep step) {
        return switch (step.getPhase()) {
            case DONE -> WHOLE_SHARE;
            case ROLLED_BACK, MISSED_DEADLINE -> 0;
            default -> step.getShareBasisPoints();
        };
    }

    /** Returns whether the model has a version move that has not ended. */
    static boolean moving(Model model) {
        return switch (model.getMove().getPhase()) {
            case CANARY, RAMP, WATCH -> true;
            default -> false;
        };
    }

    private ConfigurationDelta.Builder delta() {
        return ConfigurationDelta.newBuilder().setBaseRevision(mState.revision());
    }

    private static Decision change(ConfigurationDelta.Builder delta) {
        return new Decision.Change(delta.build());
    }

    private static Decision refused(String format, Object... arguments) {
        return new Decision.Refused(String.format(format, arguments));
    }
}
