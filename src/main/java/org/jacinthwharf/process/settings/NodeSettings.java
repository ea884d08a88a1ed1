package org.jacinthwharf.process.settings;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jacinthwharf.id.VmId;

/**
 * Settings of a process that discovers the rest of the fleet through seeds.
 *
 * <p>Immutable. The id of a VM is its IP address, and all VMs use the same peer port, so the id is
 * sufficient to connect to a member.
 *
 * @param vmId IP address of the VM
 * @param failureDomain failure domain of the VM
 * @param region region of the failure domain
 * @param listen addresses to listen on
 * @param peerPort port for links between processes, the same on all VMs
 * @param seeds addresses of some control members; the port is ignored, and they may be out of date
 * @param mayFound whether this member may bootstrap the control group if no configured member has
 *     data yet
 * @param dataFolder folder for all files of the process; empty for a gateway
 * @param regions region of each failure domain
 * @param bounds bounds that the fleet guarantees
 * @param maxDescriptors descriptors that the process may have open, files included
 * @param duties duties of the fleet; empty if it makes no outside calls
 */
public record NodeSettings(
        String vmId,
        String failureDomain,
        String region,
        NodeListen listen,
        int peerPort,
        List<Endpoint> seeds,
        boolean mayFound,
        String dataFolder,
        Map<String, String> regions,
        NodeBounds bounds,
        int maxDescriptors,
        Optional<DutySettings> duties) {
    /** Limit of a process whose settings name none. */
    public static final int DEFAULT_MAX_DESCRIPTORS = 4_096;

    /** A gateway needs some for files, servers and other processes besides its callers. */
    public static final int LEAST_MAX_DESCRIPTORS = 256;

    /** Creates settings; the VM id must be an IP address. */
    public NodeSettings {
        Preconditions.checkArgument(Endpoint.isIp(vmId), "vmId must be an IP address: '%s'", vmId);
        Preconditions.checkArgument(
                maxDescriptors >= LEAST_MAX_DESCRIPTORS,
                "maxDescriptors must be at least %s, not %s",
                LEAST_MAX_DESCRIPTORS,
                maxDescriptors);
        seeds = ImmutableList.copyOf(seeds);
        regions = ImmutableMap.copyOf(regions);
    }

    /**
     * Addresses that a process listens on.
     *
     * @param http for callers of a gateway, or operators of a control member
     * @param ready for the readiness check of the load balancer
     * @param metrics for metrics
     */
    public record NodeListen(
            Optional<Endpoint> http, Optional<Endpoint> ready, Optional<Endpoint> metrics) {}

    /** Returns the id of this VM. */
    public VmId self() {
        return VmId.of(vmId);
    }

    /** Returns the address on which this process accepts links. */
    public Endpoint peer() {
        return peerOf(self());
    }

    /** Returns the address on which the process on a VM accepts links. */
    public Endpoint peerOf(VmId vm) {
        return new Endpoint(vm.value(), peerPort);
    }

    /** Returns the VMs of the seeds. */
    public ImmutableList<VmId> seedVms() {
        return seeds.stream().map(s -> VmId.of(s.ip())).collect(ImmutableList.toImmutableList());
    }
}
