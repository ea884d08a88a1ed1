package org.jacinthwharf.process.control;

import com.google.protobuf.InvalidProtocolBufferException;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.CommandReply;
import org.jacinthwharf.wire.generated.Customer;
import org.jacinthwharf.wire.generated.FailureDomain;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.VersionMove;

/** Factory of commands for tests. */
final class TestCommands {
    static final long NOW = 1_000_000;

    private TestCommands() {}

    static Command.Builder customer(String commandId, String customer, double weight) {
        return command(commandId)
                .setPutCustomer(Customer.newBuilder().setId(customer).setWeight(weight));
    }

    static Command.Builder failureDomain(String commandId, String id, String region, boolean out) {
        return command(commandId)
                .setPutFailureDomain(
                        FailureDomain.newBuilder().setId(id).setRegion(region).setOut(out));
    }

    static Command.Builder model(String commandId, String id, String version) {
        return command(commandId)
                .setPutModel(Model.newBuilder().setId(id).setCurrentVersion(version));
    }

    static Command.Builder move(String commandId, String model, String to, long deadline) {
        return command(commandId)
                .setStartMove(
                        VersionMove.newBuilder()
                                .setModel(model)
                                .setToVersion(to)
                                .setDeadlineMillis(deadline));
    }

    private static Command.Builder command(String id) {
        return Command.newBuilder().setCommandId(id).setNowMillis(NOW);
    }

    static CommandReply apply(ControlStateMachine state, Command.Builder command) {
        try {
            return CommandReply.parseFrom(state.apply(1, command.build().toByteString()));
        } catch (InvalidProtocolBufferException e) {
            throw new AssertionError(e);
        }
    }
}
