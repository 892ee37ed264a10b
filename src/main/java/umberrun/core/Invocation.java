package umberrun.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A call whose answer may be asked for more than once: by its id, or by a repeat under its key. */
public final class Invocation {
  private final String id;
  final String scope;
  final Request request;
  final boolean deferred;
  final long deadline;
  private final List<Consumer<Result>> waiters = new ArrayList<>(1);
  private Result result;
  Call call;

  /**
   * Whether somebody was told where to collect the result, though the call began as a synchronous
   * one.
   */
  boolean promised;

  long timer = -1;
  long endedAt;

  Invocation(String id, String scope, Request request, boolean deferred, long deadline) {
    this.id = id;
    this.scope = scope;
    this.request = request;
    this.deferred = deferred;
    this.deadline = deadline;
  }

  public String id() {
    return id;
  }

  /** The result, or null while there is none. */
  public Result result() {
    return result;
  }

  /** Hands the result over once it is there; at once if it is. */
  public void await(Consumer<Result> waiter) {
    if (result != null) {
      waiter.accept(result);
    } else {
      waiters.add(waiter);
    }
  }

  public void removeWaiter(Consumer<Result> waiter) {
    waiters.remove(waiter);
  }

  /** Whether the result is owed to somebody. */
  boolean isOwed() {
    return deferred || promised || !waiters.isEmpty();
  }

  /** Guards against a second answer: the first stands. */
  boolean end(Result r) {
    if (result != null) {
      return false;
    }
    result = r;
    List<Consumer<Result>> told = List.copyOf(waiters);
    waiters.clear();
    told.forEach(w -> w.accept(r));
    return true;
  }

  /** Whether a request under the same key is the same call again. */
  boolean isRepeat(Request r) {
    return r.callClass() == request.callClass()
        && r.function() == request.function()
        && r.body().equals(request.body());
  }

  int bytes() {
    return result instanceof Result.Served s ? s.body().length() : 0;
  }
}
