package io.figspan.control.request;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.StreamId;

/**
 * One part of an answer, as received from an engine.
 *
 * @param offset index of the event in the stream, from 0
 * @param last whether the answer is complete with this part
 */
public record StreamEvent(BackendIncarnation engine, StreamId stream, long offset, String text, boolean last) {}
