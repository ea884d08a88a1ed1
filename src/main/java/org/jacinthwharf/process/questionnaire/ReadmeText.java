package org.jacinthwharf.process.questionnaire;

import java.util.Locale;
import org.jacinthwharf.process.settings.Endpoint;

/**
 * Writes the page that says which file goes to which VM and which ports must be open.
 *
 * <p>Stateless and thread-safe.
 */
final class ReadmeText {
    private ReadmeText() {}

    static String text(DeploymentPlan plan) {
        StringBuilder text = new StringBuilder();
        Answers answers = plan.answers();
        line(text, "Deployment %s, region %s", answers.deployment(), answers.region());
        line(text, "");
        line(text, "Files");
        line(text, "");
        line(text, "Every VM gets jacinthwharf.jar and:");
        line(text, "");
        for (DeploymentPlan.Vm vm : plan.vms()) {
            line(
                    text,
                    "  %-20s %-15s %-20s %s%s",
                    vm.id(),
                    vm.ip(),
                    vm.failureDomain(),
                    DeploymentFiles.routerFile(vm),
                    vm.member()
                            ? " "
                                    + DeploymentFiles.controlFile(vm)
                                    + " "
                                    + DeploymentFiles.TOKEN_FILE
                            : "");
        }
        line(text, "");
        line(text, "The token goes to %s on the VMs above, readable", answers.operatorTokenFile());
        line(text, "by the control process only (mode 600). Keep this copy for operators.");
        line(text, "commands.sh stays with the operators.");
        if (!plan.choice().notes().isEmpty()) {
            line(text, "");
            line(text, "Control members");
            line(text, "");
            plan.choice().notes().forEach(n -> line(text, "%s", n));
        }
        ports(text, plan);
        start(text, plan);
        return text.toString();
    }

    private static void ports(StringBuilder text, DeploymentPlan plan) {
        line(text, "");
        line(text, "Ports that must be open (TCP)");
        line(text, "");
        line(text, "  %-24s %-16s %s", "port", "used for", "reached from");
        for (DeploymentPlan.Vm vm : plan.vms()) {
            port(
                    text,
                    vm.router().http(),
                    "router",
                    "load balancer, backend servers of " + vm.failureDomain());
            port(text, vm.router().peer(), "router peers", "all VMs above");
            port(text, vm.router().admin(), "router admin", "load balancer, monitoring, operators");
            if (vm.member()) {
                port(text, vm.control().http(), "operators", "operators");
                port(text, vm.control().peer(), "control peers", "all VMs above");
                port(text, vm.control().admin(), "control admin", "monitoring, operators");
            }
        }
    }

    private static void port(StringBuilder text, Endpoint endpoint, String use, String from) {
        line(text, "  %-24s %-16s %s", endpoint, use, from);
    }

    private static void start(StringBuilder text, DeploymentPlan plan) {
        DeploymentPlan.Vm member = plan.members().get(0);
        line(text, "");
        line(text, "Start");
        line(text, "");
        line(text, "1. Check all settings: java -jar jacinthwharf.jar check *.json");
        line(text, "2. On the VMs with a control file, under the service manager:");
        line(text, "     java -XX:+UseSerialGC -Xmx64m -jar jacinthwharf.jar control \\");
        line(text, "       --settings %s", DeploymentFiles.controlFile(member));
        line(text, "3. On every VM, under the service manager:");
        line(text, "     java -XX:+UseSerialGC -Xmx160m -jar jacinthwharf.jar router \\");
        line(text, "       --settings %s", DeploymentFiles.routerFile(member));
        line(text, "4. Once, from any VM that reaches the operators' ports: sh commands.sh");
        line(text, "5. java -jar jacinthwharf.jar status --control %s", member.control().http());
        line(
                text,
                "6. Point the load balancer at the routers' ports, with GET /ready on the admin");
        line(text, "   port as its health check, and the backend servers' announcements at the");
        line(text, "   routers of their own failure domain.");
    }

    private static void line(StringBuilder text, String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, format, arguments).stripTrailing()).append('\n');
    }
}
