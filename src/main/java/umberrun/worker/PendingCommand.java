package umberrun.worker;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import saddlestall.Dispatcher.OutcomeCode;

/** A command to a worker and the wait for its answer. Ends once: answered, lost, or its time up. */
abstract class PendingCommand {
  /** The id under which the answer comes. */
  final Buffer id;

  final long deadline;
  boolean written;
  long writtenAt;
  long timer = -1;

  PendingCommand(Buffer id, long deadline) {
    this.id = id;
    this.deadline = deadline;
  }

  /** The command as it goes out now. */
  abstract Buffer command(long now);

  /** Whether the drain rule holds for it. */
  boolean isNewWork() {
    return false;
  }

  /** Whether anybody still wants it to be written. */
  boolean isWanted(long now) {
    return true;
  }

  /** Whether it is over as soon as it is written, since no answer comes. */
  boolean isOneWay() {
    return false;
  }

  /** Whether nothing more is sent under this id after such an answer. */
  boolean isSettledBy(List<Buffer> parts) {
    return true;
  }

  /** What tells the worker that nobody waits any more, or null. */
  Buffer withdrawal() {
    return null;
  }

  /** The answer: a word, fields and a body, behind the id. */
  abstract void answered(List<Buffer> parts);

  /** No answer will come. */
  abstract void lost(OutcomeCode code);
}
