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
 * <p>Immutable. The operator token is not included, because it is random and secret.
 *
 * @param contents content of each file, by file name
 * @param notes remarks for operators about the choice of control members
 */
public record DeploymentFiles(ImmutableMap<String, String> contents, ImmutableList<String> notes) {
    /** File name of the operator token. */
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
     * @param portsOf returns the ports of the VM with this index; VMs are in the order of the
     *     answers
     */
    public static DeploymentFiles generate(Answers answers, IntFunction<Ports> portsOf) {
        DeploymentPlan plan = DeploymentPlan.of(answers, portsOf);
        ImmutableMap.Builder<String, String> files = ImmutableMap.builder();
        for (DeploymentPlan.Vm vm : plan.vms()) {
            files.put(routerFile(vm), toJson(routerSettings(plan, vm)));
            if (vm.runsControlMember()) {
                files.put(controlFile(vm), toJson(controlSettings(plan, vm)));
            }
        }
        files.put(COMMANDS_FILE, CommandsScript.generate(plan));
        files.put(README_FILE, ReadmeText.generate(plan));
        return new DeploymentFiles(files.buildOrThrow(), plan.memberChoice().notes());
    }

    static String routerFile(DeploymentPlan.Vm vm) {
        return vm.id() + "-router.json";
    }

    static String controlFile(DeploymentPlan.Vm vm) {
        return vm.id() + "-control.json";
    }

    /** Returns the content of an answers file with these answers. */
    public static String toJson(Answers answers) {
        return toJson(JSON.<ObjectNode>valueToTree(answers));
    }

    private static ObjectNode routerSettings(DeploymentPlan plan, DeploymentPlan.Vm vm) {
        ObjectNode settings = processSettings("router", plan, vm, vm.router());
        long drainDelayMs = plan.answers().drainDelayMs();
        if (drainDelayMs != Limits.defaults().drainDelayMs()) {
            settings.putObject("limits").put("drainDelayMs", drainDelayMs);
        }
        return settings;
    }

    private static ObjectNode controlSettings(DeploymentPlan plan, DeploymentPlan.Vm vm) {
        // Each member has its own folder, because the folder holds the identity of the member.
        return processSettings("control", plan, vm, vm.control())
                .put("dataFolder", plan.answers().dataFolder() + "/" + vm.id())
                .put("operatorTokenFile", plan.answers().operatorTokenFile());
    }

    private static ObjectNode processSettings(
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

    private static String toJson(ObjectNode node) {
        try {
            return WRITER.writeValueAsString(node) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write JSON", e);
        }
    }
}
