package org.jacinthwharf.process.control;

import java.util.Optional;
import org.jacinthwharf.id.CustomerId;
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
import org.jacinthwharf.wire.generated.RejectedVersion;
import org.jacinthwharf.wire.generated.RoutingTable;
import org.jacinthwharf.wire.generated.Service;
import org.jacinthwharf.wire.generated.VersionMove;

/**
 * Validates commands and computes the configuration change that each of them makes.
 *
 * <p>Not thread-safe; reads the given state and does not modify it. Deterministic: the current time
 * is taken from the command.
 */
final class ChangeRules {
    private static final int ALL_TRAFFIC_BASIS_POINTS = 10_000;
    // A new version may get at most 5% of its route's traffic until there is evidence (G5).
    private static final int MAX_CANARY_BASIS_POINTS = 500;

    private final ConfigurationState mState;

    ChangeRules(ConfigurationState state) {
        mState = state;
    }

    /** The effect of a command on the configuration. */
    sealed interface Decision {
        /** The command changes the configuration. */
        record Change(ConfigurationDelta delta) implements Decision {}

        /** The configuration already is as the command requests. */
        record NoChange() implements Decision {}

        /** The command is invalid. */
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
            case FORGET_VERSION -> forgetVersion(command.getForgetVersion());
            default -> refused("the command has no change");
        };
    }

    /**
     * Replaces the routing table by one with a higher number. A table with a lower or equal number
     * is out of date or a duplicate; it is accepted and changes nothing.
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

    // Only a command that names a region may add a failure domain, so that a command to take one
    // out of service is refused if it misspells the id.
    private Decision putFailureDomain(FailureDomain requested) {
        FailureDomain existing = mState.failureDomain(requested.getId());
        if (existing == null && requested.getRegion().isEmpty()) {
            return refused("unknown failure domain '%s'", requested.getId());
        }
        // Adding a failure domain that is out of service would silently put it back into service.
        if (existing != null && !requested.getRegion().isEmpty()) {
            return refused("failure domain '%s' exists", requested.getId());
        }
        FailureDomain.Builder changed = requested.toBuilder();
        if (existing != null) {
            changed.setRegion(existing.getRegion());
        }
        changed.setChangedRevision(mState.revision() + 1);
        return change(delta().addFailureDomains(changed));
    }

    private Decision putModel(Model requested) {
        if (ModelId.parse(requested.getId()).isEmpty()) {
            return refused("malformed model id '%s'", requested.getId());
        }
        if (VersionId.parse(requested.getCurrentVersion()).isEmpty()) {
            return refused("malformed version '%s'", requested.getCurrentVersion());
        }
        Model existing = mState.model(requested.getId());
        if (existing == null) {
            return change(delta().addModels(requested.toBuilder().clearMove()));
        }
        if (isMoveInProgress(existing)) {
            return refused("a version move of model '%s' is under way", requested.getId());
        }
        Model.Builder changed =
                existing.toBuilder().setCurrentVersion(requested.getCurrentVersion());
        RejectedVersions.remove(changed, requested.getCurrentVersion());
        return change(delta().addModels(changed));
    }

    private Decision removeModel(String id) {
        Model existing = mState.model(id);
        if (existing == null) {
            return refused("unknown model '%s'", id);
        }
        return isMoveInProgress(existing)
                ? refused("a version move of model '%s' is under way", id)
                : change(delta().addRemovedModels(id));
    }

    /** Starts a move; one that is requested as done has its version in force at once. */
    private Decision startMove(Command command) {
        VersionMove requested = command.getStartMove();
        Model model = mState.model(requested.getModel());
        if (model == null) {
            return refused("unknown model '%s'", requested.getModel());
        }
        if (isMoveInProgress(model)) {
            return refused(
                    "version move '%s' of model '%s' is under way",
                    model.getMove().getId(), model.getId());
        }
        if (requested.getToVersion().isEmpty()) {
            return refused("no version is given");
        }
        if (requested.getToVersion().equals(model.getCurrentVersion())) {
            return refused("model '%s' already has this version", model.getId());
        }
        if (requested.getDeadlineMillis() <= command.getNowMillis()) {
            return refused("the deadline is in the past");
        }
        boolean done = requested.getPhase() == MovePhase.DONE;
        VersionMove.Builder move =
                requested.toBuilder()
                        .setId(
                                requested.getId().isEmpty()
                                        ? command.getCommandId()
                                        : requested.getId())
                        .setFromVersion(model.getCurrentVersion())
                        .setStartedMillis(command.getNowMillis())
                        .setPhase(done ? MovePhase.DONE : MovePhase.CANARY)
                        .setPhaseSinceMillis(command.getNowMillis())
                        // The supervisor starts the canary once it has a baseline of the old
                        // version.
                        .setShareBasisPoints(done ? ALL_TRAFFIC_BASIS_POINTS : 0)
                        .clearReason();
        Model.Builder changed = model.toBuilder().setMove(move);
        RejectedVersions.remove(changed, requested.getToVersion());
        if (done) {
            changed.setCurrentVersion(requested.getToVersion());
        }
        return change(delta().addModels(changed));
    }

    private Decision moveStep(MoveStep step, long nowMillis) {
        Model model = mState.model(step.getModel());
        if (model == null || !model.getMove().getId().equals(step.getMoveId())) {
            return refused("unknown move '%s' of model '%s'", step.getMoveId(), step.getModel());
        }
        VersionMove move = model.getMove();
        int basisPoints = basisPoints(step);
        if (step.getPhase() == move.getPhase() && basisPoints == move.getShareBasisPoints()) {
            return new Decision.NoChange();
        }
        if (!isMoveInProgress(model)) {
            return refused("move '%s' has ended: %s", move.getId(), move.getPhase());
        }
        if (step.getPhase() == MovePhase.CANARY && basisPoints > MAX_CANARY_BASIS_POINTS) {
            return refused(
                    "share %s of move '%s' is too large for a canary", basisPoints, move.getId());
        }
        if (step.getPhase().getNumber() < move.getPhase().getNumber()
                || basisPoints > ALL_TRAFFIC_BASIS_POINTS) {
            return refused(
                    "move '%s' cannot go to %s, %s", move.getId(), step.getPhase(), basisPoints);
        }
        VersionMove.Builder next =
                move.toBuilder()
                        .setPhase(step.getPhase())
                        .setShareBasisPoints(basisPoints)
                        .setReason(step.getReason());
        if (step.getPhase() != move.getPhase()) {
            next.setPhaseSinceMillis(nowMillis);
        }
        Model.Builder changed = model.toBuilder().setMove(next);
        switch (step.getPhase()) {
            case DONE -> changed.setCurrentVersion(move.getToVersion());
            case ROLLED_BACK, MISSED_DEADLINE -> RejectedVersions.add(changed, move.getToVersion());
            default -> {}
        }
        return change(delta().addModels(changed));
    }

    private Decision forgetVersion(RejectedVersion forgotten) {
        Model model = mState.model(forgotten.getModel());
        if (model == null || !model.getRejectedVersionsList().contains(forgotten.getVersion())) {
            return new Decision.NoChange();
        }
        Model.Builder changed = model.toBuilder();
        RejectedVersions.remove(changed, forgotten.getVersion());
        return change(delta().addModels(changed));
    }

    private static int basisPoints(MoveStep step) {
        return switch (step.getPhase()) {
            case DONE -> ALL_TRAFFIC_BASIS_POINTS;
            case ROLLED_BACK, MISSED_DEADLINE -> 0;
            default -> step.getShareBasisPoints();
        };
    }

    /** Returns whether the model has a version move in progress. */
    static boolean isMoveInProgress(Model model) {
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
