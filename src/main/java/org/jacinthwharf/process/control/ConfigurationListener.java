package org.jacinthwharf.process.control;

import org.jacinthwharf.wire.generated.ConfigurationDelta;

/** Hears of changes of the committed configuration, on the event loop. */
interface ConfigurationListener {
    /** Called after one accepted change, which leads from its base to the next revision. */
    void onChange(ConfigurationDelta delta);

    /** Called after the whole configuration was replaced from a snapshot. */
    void onRestore();
}
