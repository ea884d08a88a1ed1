package org.jacinthwharf.process.control;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.jacinthwharf.connection.LinkListener;
import org.jacinthwharf.connection.Links;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.process.settings.NodeSettings;

/**
 * Keeps links open to the members of the control group, as given by the seeds and by the log.
 *
 * <p>Used on the event loop only. Invariant: the link to a VM that is neither a seed nor a member
 * is not reopened once it has closed.
 */
public final class ControlGroupLinks {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final NodeSettings mSettings;
    private final Links mLinks;
    private final LinkListener mListener;
    private final Consumer<VmId> mOnRefused;
    private final TreeSet<VmId> mTargets = new TreeSet<>();
    private final TreeSet<VmId> mOpened = new TreeSet<>();

    /**
     * Creates an instance that keeps no links open until targets are set.
     *
     * @param onRefused receives a VM each time that it refuses a connection
     */
    public ControlGroupLinks(
            NodeSettings settings, Links links, LinkListener listener, Consumer<VmId> onRefused) {
        mSettings = settings;
        mLinks = links;
        mListener = listener;
        mOnRefused = onRefused;
    }

    /** Sets the VMs to keep links to; this VM is ignored. */
    public void setTargets(Collection<VmId> vms) {
        mTargets.clear();
        vms.stream().filter(ControlGroupLinks::hasAddress).forEach(mTargets::add);
        mTargets.remove(mSettings.self());
        for (VmId vm : mTargets) {
            if (mOpened.add(vm)) {
                mLinks.keepOpen(
                        mSettings.peerOf(vm).toSocketAddress(),
                        mListener,
                        () -> isTarget(vm),
                        () -> mOnRefused.accept(vm));
            }
        }
    }

    /** Returns whether links can be opened to a VM, whose id may come from another process. */
    private static boolean hasAddress(VmId vm) {
        boolean address = Endpoint.isIp(vm.value());
        if (!address) {
            LOGGER.atWarning().log("event=member_ignored reason='no IP address' vm=%s", vm);
        }
        return address;
    }

    private boolean isTarget(VmId vm) {
        boolean target = mTargets.contains(vm);
        if (!target) {
            mOpened.remove(vm);
        }
        return target;
    }
}
