package org.jacinthwharf.process.questionnaire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.function.IntFunction;
import org.jacinthwharf.process.settings.Limits;
import org.jacinthwharf.process.settings.Listen;

/**
 * The files of a deployment, generated from answers. The same answers give the same files.
 *
 * <p>Immutable. The operator token is not among them, since it is random and a secret.
 *
 * @param contents the content of each file by its name
 * @param notes what operators should know about the choice of control members
 */
public record DeploymentFiles(ImmutableMap<String, String> contents, ImmutableList<String> notes) {
    /** Name of the file that holds the operator token. */
    public static final String TOKEN_FILE = "operator-token";

    static final String COMMANDS_FILE = "commands.sh";
    static final String README_FILE = "README.txt";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ObjectWriter WRITER =
            JSON.writer(
                    new DefaultPrettyPrinter()
                            .withArrayIndenter(new DefaultIndenter("  ", "\n"))
                            .withObjectIndenter(new DefaultIndenter("  ", "\n")));

    /** Generates the files of a deployment that has the same ports on every VM. */
    public static DeploymentFiles generate(Answers answers) {
        return generate(answers, i -> answers.ports());
    }

    /**
     * Generates the files of a deployment.
     *
     * @param portsOf returns the ports of the VM with this index, in the order of the answers
     */
    public static DeploymentFiles generate(Answers answers, IntFunction<Ports> portsOf) {
        DeploymentPlan plan = DeploymentPlan.of(answers, portsOf);
        ImmutableMap.Builder<String, String> files = ImmutableMap.builder();
        for (DeploymentPlan.Vm vm : plan.vms()) {
            files.put(routerFile(vm), text(router(plan, vm)));
            if (vm.member()) {
                files.put(controlFile(vm), text(control(plan, vm)));
            }
        }
        files.put(COMMANDS_FILE, CommandsScript.text(plan));
        files.put(README_FILE, ReadmeText.text(plan));
        return new DeploymentFiles(files.buildOrThrow(), plan.choice().notes());
    }

    static String routerFile(DeploymentPlan.Vm vm) {
        return vm.id() + "-router.json";
    }

    static String controlFile(DeploymentPlan.Vm vm) {
        return vm.id() + "-control.json";
    }

    /** Returns answers as the content of an answers file. */
    public static String text(Answers answers) {
        return text(JSON.<ObjectNode>valueToTree(answers));
    }

    private static ObjectNode router(DeploymentPlan plan, DeploymentPlan.Vm vm) {
        ObjectNode settings = process("router", plan, vm, vm.router());
        long drainDelayMs = plan.answers().drainDelayMs();
        if (drainDelayMs != Limits.defaults().drainDelayMs()) {
            settings.putObject("limits").put("drainDelayMs", drainDelayMs);
        }
        return settings;
    }

    private static ObjectNode control(DeploymentPlan plan, DeploymentPlan.Vm vm) {
        // Each member has a folder of its own, since the folder is the member's identity.
        return process("control", plan, vm, vm.control())
                .put("dataFolder", plan.answers().dataFolder() + "/" + vm.id())
                .put("operatorTokenFile", plan.answers().operatorTokenFile());
    }

    private static ObjectNode process(
            String role, DeploymentPlan plan, DeploymentPlan.Vm vm, Listen listen) {
        ObjectNode settings =
                JSON.createObjectNode()
                        .put("role", role)
                        .put("vmId", vm.id())
                        .put("failureDomain", vm.failureDomain())
                        .put("region", plan.answers().region());
        settings.set("listen", JSON.valueToTree(listen));
        settings.set("controlMembers", JSON.valueToTree(plan.controlMembers()));
        settings.set("routers", JSON.valueToTree(plan.routers()));
        return settings;
    }

    private static String text(ObjectNode node) {
        try {
            return WRITER.writeValueAsString(node) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write JSON", e);
        }
    }
}
