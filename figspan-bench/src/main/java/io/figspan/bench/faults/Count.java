package io.figspan.bench.faults;

/** Kinds of violations. */
enum Count {
    RUN_TWICE("orders run twice"),
    FALSE_NOT_RUN("false notRun"),
    FALSE_RAN("false ran"),
    HOLDS_LOST("holds never returned"),
    HOLDS_STOLEN("holds of live requests released"),
    MIXED("answers mixed"),
    INCOMPLETE("answers told complete but not whole"),
    LEAVING_WORK("work to a leaving backend server after the bound"),
    CUT_OFF("requests cut off by a shutdown"),
    STALE_ORDER("model orders in force after a newer one"),
    SETTINGS_BACK("settings gone back"),
    SETTINGS_LATE("settings not in force in time"),
    DEADLINE("deadlines passed");

    private final String title;

    Count(String title) {
        this.title = title;
    }

    String title() {
        return title;
    }
}
