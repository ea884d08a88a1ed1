package org.jacinthwharf.process.questionnaire;

import com.google.common.collect.ImmutableList;
import java.util.function.IntFunction;
import org.jacinthwharf.process.questionnaire.Answers.FailureDomainAnswer;
import org.jacinthwharf.process.questionnaire.Answers.VmAnswer;
import org.jacinthwharf.process.settings.ControlPeer;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.process.settings.Listen;
import org.jacinthwharf.process.settings.RouterPeer;

/**
 * The processes of a deployment and the VM that each runs on, derived from the answers.
 *
 * <p>Immutable. VMs are in the order of the answers.
 *
 * @param answers the answers
 * @param memberChoice the VMs that run a control member
 * @param vms all entry VMs
 */
record DeploymentPlan(Answers answers, MemberChoice memberChoice, ImmutableList<Vm> vms) {

    /**
     * An entry VM and the addresses of its processes. Immutable.
     *
     * @param control addresses that a control member on this VM has
     * @param runsControlMember whether a control member runs on this VM
     */
    record Vm(
            String id,
            String ip,
            String failureDomain,
            Listen router,
            Listen control,
            boolean runsControlMember) {}

    /**
     * Plans a deployment.
     *
     * @param portsOf returns the ports of the VM with this index
     */
    static DeploymentPlan of(Answers answers, IntFunction<Ports> portsOf) {
        MemberChoice memberChoice = MemberChoice.of(answers);
        ImmutableList.Builder<Vm> vms = ImmutableList.builder();
        int index = 0;
        for (FailureDomainAnswer f : answers.failureDomains()) {
            for (VmAnswer v : f.vms()) {
                Ports p = portsOf.apply(index++);
                vms.add(
                        new Vm(
                                v.id(),
                                v.ip(),
                                f.id(),
                                listen(v.ip(), p.routerHttp(), p.routerPeer(), p.routerAdmin()),
                                listen(v.ip(), p.controlHttp(), p.controlPeer(), p.controlAdmin()),
                                memberChoice.vmIds().contains(v.id())));
            }
        }
        return new DeploymentPlan(answers, memberChoice, vms.build());
    }

    ImmutableList<RouterPeer> routers() {
        return vms.stream()
                .map(v -> new RouterPeer(v.id(), v.failureDomain(), region(), v.router().peer()))
                .collect(ImmutableList.toImmutableList());
    }

    ImmutableList<ControlPeer> controlMembers() {
        return vmsWithControlMember().stream()
                .map(
                        v ->
                                new ControlPeer(
                                        v.id(),
                                        v.failureDomain(),
                                        region(),
                                        v.control().peer(),
                                        v.control().http()))
                .collect(ImmutableList.toImmutableList());
    }

    ImmutableList<Vm> vmsWithControlMember() {
        return vms.stream().filter(Vm::runsControlMember).collect(ImmutableList.toImmutableList());
    }

    private String region() {
        return answers.region();
    }

    private static Listen listen(String ip, int http, int peer, int admin) {
        return new Listen(new Endpoint(ip, http), new Endpoint(ip, peer), new Endpoint(ip, admin));
    }
}
