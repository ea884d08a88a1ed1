package org.jacinthwharf.process.control;

import java.util.Collection;
import java.util.TreeSet;
import org.jacinthwharf.connection.LinkListener;
import org.jacinthwharf.connection.Links;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.settings.NodeSettings;

/**
 * Keeps links to the members of the control group, as seeds and log name them.
 *
 * <p>Used on the event loop only. Invariant: a VM that is neither a seed nor a member is not tried
 * again once its link has closed.
 */
public final class MemberContacts {
    private final NodeSettings mSettings;
    private final Links mLinks;
    private final LinkListener mListener;
    private final TreeSet<VmId> mWanted = new TreeSet<>();
    private final TreeSet<VmId> mTried = new TreeSet<>();

    /** Creates contacts that want nobody. */
    public MemberContacts(NodeSettings settings, Links links, LinkListener listener) {
        mSettings = settings;
        mLinks = links;
        mListener = listener;
    }

    /** Sets the VMs to keep links to. */
    public void want(Collection<VmId> vms) {
        mWanted.clear();
        mWanted.addAll(vms);
        mWanted.remove(mSettings.self());
        for (VmId vm : mWanted) {
            if (mTried.add(vm)) {
                mLinks.keepOpen(
                        mSettings.peerOf(vm).toSocketAddress(), mListener, () -> isWanted(vm));
            }
        }
    }

    private boolean isWanted(VmId vm) {
        boolean wanted = mWanted.contains(vm);
        if (!wanted) {
            mTried.remove(vm);
        }
        return wanted;
    }
}
