package umberrun.front.invoke;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import umberrun.core.Invocation;
import umberrun.core.InvocationRegistry;
import umberrun.core.Result;
import umberrun.core.ResultWaiter;

/**
 * A request that is answered once the result of an invocation is there, or without it: after a
 * time, or when this process ends.
 */
final class PendingResponse implements ResultWaiter {
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final ResultResponder responder;
  private final HttpServerRequest request;
  private final Invocation invocation;

  /** Whether the client can collect the result later, so that it may be told where. */
  private final boolean collectable;

  private long timerId = NO_TIMER;

  /**
   * @param collectable whether the client can collect the result later
   */
  PendingResponse(
      Vertx vertx,
      ResultResponder responder,
      HttpServerRequest request,
      Invocation invocation,
      boolean collectable) {
    this.vertx = vertx;
    this.responder = responder;
    this.request = request;
    this.invocation = invocation;
    this.collectable = collectable;
  }

  /**
   * Starts to wait.
   *
   * @param waitMillis after this time the request is answered without the result; 0 for no limit
   */
  void start(InvocationRegistry invocations, long waitMillis) {
    if (waitMillis > 0 && invocation.result() == null) {
      timerId =
          vertx.setTimer(
              waitMillis,
              expired -> {
                timerId = NO_TIMER;
                invocations.stopWaiting(invocation, this);
                answerWithoutResult(true);
              });
    }
    HttpServerResponse response = request.response();
    response.closeHandler(
        v -> {
          if (!response.ended()) {
            cancelTimer();
            invocations.stopWaiting(invocation, this);
          }
        });
    invocation.await(this);
  }

  @Override
  public void onResult(Result result) {
    cancelTimer();
    responder.answer(request, result);
  }

  @Override
  public void onProcessEnding() {
    cancelTimer();
    answerWithoutResult(false);
  }

  private void answerWithoutResult(boolean timedOut) {
    if (collectable) {
      responder.answerAccepted(request, invocation);
    } else {
      responder.answer(request, new Result.Failed(timedOut));
    }
  }

  private void cancelTimer() {
    if (timerId != NO_TIMER) {
      vertx.cancelTimer(timerId);
      timerId = NO_TIMER;
    }
  }
}
