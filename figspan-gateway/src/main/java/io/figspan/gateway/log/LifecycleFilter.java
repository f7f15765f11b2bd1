package io.figspan.gateway.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;
import java.util.List;
import org.slf4j.Marker;

/** Selects the lines on the life of the process, or all others. */
final class LifecycleFilter extends Filter<ILoggingEvent> {
    private final boolean selectsLifecycle;

    LifecycleFilter(boolean selectsLifecycle) {
        this.selectsLifecycle = selectsLifecycle;
    }

    @Override
    public FilterReply decide(ILoggingEvent event) {
        List<Marker> markers = event.getMarkerList();
        boolean isLifecycle = markers != null && markers.contains(DecisionLog.LIFECYCLE);
        return isLifecycle == selectsLifecycle ? FilterReply.NEUTRAL : FilterReply.DENY;
    }
}
