package io.figspan.policy.dispatch;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.policy.admission.AdmissionPolicy;
import io.figspan.policy.placement.GroupPlacement;
import io.figspan.policy.placement.LengthAwarePlacement;

/**
 * Parameters of the dispatcher.
 *
 * @param placement choice of the engine
 * @param groups choice of a group of engines
 * @param firstTokenMs predicted time to first token above which a prompt is refused, for a prompt of no length
 * @param firstTokenStretch what is added to {@code firstTokenMs} for the length of the prompt, as a multiple of its
 *     time on an idle engine
 * @param urgencyStretch how much later, in multiples of its time on an idle engine, a prompt counts as arrived for the
 *     engine's priority; 0 is first come, first served, and a waiting prompt ages at any value
 * @param spareBacklogMs mean backlog of the engines up to which an organisation may exceed its share
 * @param admissionMargin factor on the predicted time of a prompt before it is compared with the time left
 * @param queueItems bound of each queue of prompts that wait on this host
 */
public record DispatchSettings(
        LengthAwarePlacement placement,
        GroupPlacement groups,
        long firstTokenMs,
        double firstTokenStretch,
        double urgencyStretch,
        long spareBacklogMs,
        double admissionMargin,
        int queueItems) {
    public static final DispatchSettings DEFAULT = new DispatchSettings(
            LengthAwarePlacement.DEFAULT,
            GroupPlacement.DEFAULT,
            1_400,
            4,
            30,
            500,
            AdmissionPolicy.DEFAULT_MARGIN,
            1_024);

    public DispatchSettings {
        boolean negative = firstTokenStretch < 0 || urgencyStretch < 0 || spareBacklogMs < 0;
        if (negative || firstTokenMs < 1 || admissionMargin < 1 || queueItems < 1) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "a dispatch setting is out of range", Location.of("dispatch"));
        }
    }

    public DispatchSettings withPlacement(LengthAwarePlacement newPlacement) {
        return new DispatchSettings(
                newPlacement,
                groups,
                firstTokenMs,
                firstTokenStretch,
                urgencyStretch,
                spareBacklogMs,
                admissionMargin,
                queueItems);
    }

    public DispatchSettings withAdmissionMargin(double newAdmissionMargin) {
        return new DispatchSettings(
                placement,
                groups,
                firstTokenMs,
                firstTokenStretch,
                urgencyStretch,
                spareBacklogMs,
                newAdmissionMargin,
                queueItems);
    }
}
