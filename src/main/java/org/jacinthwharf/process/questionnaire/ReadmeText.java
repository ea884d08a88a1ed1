package org.jacinthwharf.process.questionnaire;

import java.util.Locale;
import org.jacinthwharf.process.settings.Endpoint;

/**
 * Generates the page that lists the files of each VM, the ports to open and the steps to start.
 *
 * <p>Stateless and thread-safe.
 */
final class ReadmeText {
    private ReadmeText() {}

    static String generate(DeploymentPlan plan) {
        StringBuilder text = new StringBuilder();
        Answers answers = plan.answers();
        appendLine(text, "Deployment %s, region %s", answers.deployment(), answers.region());
        appendLine(text, "");
        appendLine(text, "Files");
        appendLine(text, "");
        appendLine(text, "Every VM gets jacinthwharf.jar and:");
        appendLine(text, "");
        for (DeploymentPlan.Vm vm : plan.vms()) {
            appendLine(
                    text,
                    "  %-20s %-15s %-20s %s%s",
                    vm.id(),
                    vm.ip(),
                    vm.failureDomain(),
                    DeploymentFiles.routerFile(vm),
                    vm.runsControlMember()
                            ? " "
                                    + DeploymentFiles.controlFile(vm)
                                    + " "
                                    + DeploymentFiles.TOKEN_FILE
                            : "");
        }
        appendLine(text, "");
        appendLine(
                text,
                "The token goes to %s on the VMs above, readable",
                answers.operatorTokenFile());
        appendLine(text, "by the control process only (mode 600). Keep this copy for operators.");
        appendLine(text, "commands.sh stays with the operators.");
        if (!plan.memberChoice().notes().isEmpty()) {
            appendLine(text, "");
            appendLine(text, "Control members");
            appendLine(text, "");
            plan.memberChoice().notes().forEach(n -> appendLine(text, "%s", n));
        }
        appendPorts(text, plan);
        appendStartSteps(text, plan);
        return text.toString();
    }

    private static void appendPorts(StringBuilder text, DeploymentPlan plan) {
        appendLine(text, "");
        appendLine(text, "Ports that must be open (TCP)");
        appendLine(text, "");
        appendLine(text, "  %-24s %-16s %s", "port", "used for", "reached from");
        for (DeploymentPlan.Vm vm : plan.vms()) {
            appendPort(
                    text,
                    vm.router().http(),
                    "router",
                    "load balancer, backend servers of " + vm.failureDomain());
            appendPort(text, vm.router().peer(), "router peers", "all VMs above");
            appendPort(
                    text,
                    vm.router().admin(),
                    "router admin",
                    "load balancer, monitoring, operators");
            if (vm.runsControlMember()) {
                appendPort(text, vm.control().http(), "operators", "operators");
                appendPort(text, vm.control().peer(), "control peers", "all VMs above");
                appendPort(text, vm.control().admin(), "control admin", "monitoring, operators");
            }
        }
    }

    private static void appendPort(StringBuilder text, Endpoint endpoint, String use, String from) {
        appendLine(text, "  %-24s %-16s %s", endpoint, use, from);
    }

    private static void appendStartSteps(StringBuilder text, DeploymentPlan plan) {
        DeploymentPlan.Vm vm = plan.vmsWithControlMember().get(0);
        appendLine(text, "");
        appendLine(text, "Start");
        appendLine(text, "");
        appendLine(text, "1. Check all settings: java -jar jacinthwharf.jar check *.json");
        appendLine(text, "2. On the VMs with a control file, under the service manager:");
        appendLine(text, "     java -XX:+UseSerialGC -Xmx64m -jar jacinthwharf.jar control \\");
        appendLine(text, "       --settings %s", DeploymentFiles.controlFile(vm));
        appendLine(text, "3. On every VM, under the service manager:");
        appendLine(text, "     java -XX:+UseSerialGC -Xmx160m -jar jacinthwharf.jar router \\");
        appendLine(text, "       --settings %s", DeploymentFiles.routerFile(vm));
        appendLine(text, "4. Once, from any VM that reaches the operators' ports: sh commands.sh");
        appendLine(text, "5. java -jar jacinthwharf.jar status --control %s", vm.control().http());
        appendLine(
                text,
                "6. Point the load balancer at the routers' ports, with GET /ready on the admin");
        appendLine(
                text, "   port as its health check, and the backend servers' announcements at the");
        appendLine(text, "   routers of their own failure domain.");
    }

    private static void appendLine(StringBuilder text, String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, format, arguments).stripTrailing()).append('\n');
    }
}
