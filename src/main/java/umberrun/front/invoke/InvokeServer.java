package umberrun.front.invoke;

import com.google.gson.Gson;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.SocketAddress;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import saddlestall.Dispatcher.CallClass;
import umberrun.admission.ConnectionLimits;
import umberrun.admission.ConnectionLimits.Purpose;
import umberrun.admission.MemoryBudget;
import umberrun.config.Config.SettingNames;
import umberrun.core.Clock;
import umberrun.core.DispatchLoop;
import umberrun.core.Invocation;
import umberrun.core.InvocationRegistry;
import umberrun.core.InvocationRegistry.KeyReused;
import umberrun.core.Lifecycle;
import umberrun.core.Request;
import umberrun.core.Result;
import umberrun.core.Submission;
import umberrun.front.CallFields;
import umberrun.front.CallFields.InvalidField;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;
import umberrun.transport.HttpInputLimit;

/**
 * Serves the invoke API over HTTP/1.1: decodes each call, submits it to the invocation registry and
 * encodes its answer.
 */
public final class InvokeServer {
  private static final Pattern INVOKE_PATH = Pattern.compile("/v1/functions/([^/]+)/invocations");
  private static final Pattern INVOCATION_PATH = Pattern.compile("/v1/invocations/([^/]+)");
  private static final int IDLE_TIMEOUT_SECONDS = 75;

  /**
   * The body of a request must be complete within this time of its header, and the first header
   * must arrive within this time of connecting.
   */
  private static final long REQUEST_TIMEOUT_MILLIS = 5_000;

  /** How long a connection stays open after an answer sent before its request was complete. */
  private static final long LINGER_MILLIS = 500;

  /** How long before its client gives up a repeat is answered that still has no result. */
  private static final long REPEAT_ANSWER_MARGIN_MILLIS = 30;

  private static final long SHUTDOWN_RETRY_MILLIS = 1_000;
  private static final long MAX_POLL_MILLIS = 30_000;

  private final Vertx vertx;
  private final HttpServer server;
  private final DispatchLoop dispatchLoop;
  private final InvocationRegistry invocations;
  private final Counters counters;
  private final SettingNames names;
  private final ConnectionLimits connectionLimits;
  private final ResultResponder responder;
  private final SecureRandom random = new SecureRandom();

  /** Connections without a request so far, with their timeout timers, oldest first. */
  private final Map<HttpConnection, Long> silent = new LinkedHashMap<>();

  private final Set<HttpConnection> connections = new LinkedHashSet<>();
  private final Lifecycle lifecycle;
  private final Clock clock;

  /** Creates the server; {@link #listen} starts it. */
  public InvokeServer(
      Vertx vertx,
      DispatchLoop dispatchLoop,
      InvocationRegistry invocations,
      Counters counters,
      SettingNames names,
      Lifecycle lifecycle,
      Clock clock,
      ConnectionLimits connectionLimits,
      MemoryBudget answerBudget) {
    this.responder = new ResultResponder(answerBudget, counters);
    this.vertx = vertx;
    this.lifecycle = lifecycle;
    this.clock = clock;
    this.dispatchLoop = dispatchLoop;
    this.invocations = invocations;
    this.counters = counters;
    this.names = names;
    this.connectionLimits = connectionLimits;
    this.server =
        vertx.createHttpServer(
            new HttpServerOptions()
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setReusePort(true)
                .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false));
    server.connectionHandler(
        connection -> {
          // The descriptors beyond the limit are needed by the other parts of the process.
          if (!connectionLimits.tryAcquire(Purpose.INVOKE)
              && !(displaceOldestSilent() && connectionLimits.tryAcquire(Purpose.INVOKE))) {
            connection.close();
            return;
          }
          HttpInputLimit.apply(connection, () -> counters.add(Count.HTTP_CLOSED_HEAD));
          connections.add(connection);
          silent.put(
              connection, vertx.setTimer(REQUEST_TIMEOUT_MILLIS, timer -> closeSilent(connection)));
          connection.closeHandler(
              v -> {
                remove(connection);
                cancelTimeout(connection);
              });
        });
    server.invalidRequestHandler(
        request -> new Problem(400, "not a readable request").write(request.response()));
    server.requestHandler(this::handle);
  }

  /** Starts to listen; completes with the port in use. */
  public Future<Integer> listen(SocketAddress address) {
    return server.listen(address).map(HttpServer::actualPort);
  }

  /**
   * During a drain, closes each connection as soon as no request is open on it, and after {@link
   * #MAX_POLL_MILLIS} in any case.
   */
  public void closeIdleConnections() {
    if (lifecycle.closesIdleConnections(clock.now())) {
      List.copyOf(connections)
          .forEach(connection -> connection.shutdown(MAX_POLL_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  /**
   * Closes each connection once its current request is complete and answered, and all connections
   * after {@link #REQUEST_TIMEOUT_MILLIS}.
   */
  public Future<Void> closeConnections() {
    return server.shutdown(REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Closes the connection that has been without a request for longest; false if there is none. It
   * stops counting at once, although the system may take longer to close it.
   */
  private boolean displaceOldestSilent() {
    if (silent.isEmpty()) {
      return false;
    }
    counters.add(Count.HTTP_DISPLACED);
    HttpConnection oldest = silent.keySet().iterator().next();
    remove(oldest);
    oldest.close();
    return true;
  }

  private void closeSilent(HttpConnection connection) {
    counters.add(Count.HTTP_CLOSED_SILENT);
    connection.close();
  }

  private void remove(HttpConnection connection) {
    cancelTimeout(connection);
    if (connections.remove(connection)) {
      connectionLimits.release(Purpose.INVOKE);
    }
  }

  /** Called when a connection has received a request header, or is closed. */
  private void cancelTimeout(HttpConnection connection) {
    Long timer = silent.remove(connection);
    if (timer != null) {
      vertx.cancelTimer(timer);
    }
  }

  private void handle(HttpServerRequest request) {
    cancelTimeout(request.connection());
    try {
      route(request);
    } catch (Problem e) {
      counters.add(Count.BAD_REQUESTS);
      e.write(request.response());
    }
  }

  private void route(HttpServerRequest request) throws Problem {
    String path = request.path() == null ? "" : request.path();
    Matcher invoke = INVOKE_PATH.matcher(path);
    Matcher invocation = INVOCATION_PATH.matcher(path);
    if (invoke.matches()) {
      requireMethod(request, HttpMethod.POST);
      invokeFunction(request, invoke.group(1));
    } else if (invocation.matches()) {
      requireMethod(request, HttpMethod.GET, HttpMethod.DELETE);
      collectResult(request, invocation.group(1));
    } else if (path.equals("/v1/health")) {
      requireMethod(request, HttpMethod.GET);
      boolean healthy = lifecycle.isHealthy();
      request
          .response()
          .setStatusCode(healthy ? 200 : 503)
          .end(healthy ? "passing\n" : "leaving\n");
    } else if (path.equals("/v1/counters")) {
      requireMethod(request, HttpMethod.GET);
      request
          .response()
          .putHeader("Content-Type", "application/json")
          .end(new Gson().toJson(counters.snapshot()));
    } else {
      throw new Problem(404, "nothing is at this path");
    }
  }

  /** Throws a 405 problem unless the request has one of the methods. */
  private static void requireMethod(HttpServerRequest request, HttpMethod... methods)
      throws Problem {
    for (HttpMethod method : methods) {
      if (method.equals(request.method())) {
        return;
      }
    }
    StringBuilder allowed = new StringBuilder();
    for (HttpMethod method : methods) {
      allowed.append(allowed.length() == 0 ? "" : ", ").append(method.name());
    }
    request.response().putHeader("Allow", allowed);
    throw new Problem(405, "the method is not allowed here");
  }

  /** Reads the body of a call within its limits of time and length, then submits the call. */
  private void invokeFunction(HttpServerRequest request, String function) throws Problem {
    Buffer body = Buffer.buffer();
    boolean[] rejected = {false};
    long bodyTimer =
        vertx.setTimer(
            REQUEST_TIMEOUT_MILLIS,
            timer -> {
              // The body stopped arriving before its end.
              rejected[0] = true;
              counters.add(Count.BAD_REQUESTS);
              rejectIncomplete(request, new Problem(408, "the request did not come whole in time"));
            });
    request.handler(
        chunk -> {
          if (!rejected[0] && body.length() + chunk.length() > CallFields.MAX_BODY_BYTES) {
            rejected[0] = true;
            counters.add(Count.BAD_REQUESTS);
            vertx.cancelTimer(bodyTimer);
            rejectIncomplete(
                request,
                new Problem(
                    413, "the body is longer than " + CallFields.MAX_BODY_BYTES + " bytes"));
          } else if (!rejected[0]) {
            body.appendBuffer(chunk);
          }
        });
    request.endHandler(
        v -> {
          vertx.cancelTimer(bodyTimer);
          if (!rejected[0]) {
            try {
              // A buffer that grew has up to twice the capacity that the body needs.
              submit(request, function, body.copy());
            } catch (Problem e) {
              counters.add(Count.BAD_REQUESTS);
              e.write(request.response());
            }
          }
        });
    request.exceptionHandler(
        e -> {
          // The client disconnected before its request was complete.
          vertx.cancelTimer(bodyTimer);
          rejected[0] = true;
        });
  }

  /**
   * Answers a request that was not read to its end. The connection is closed with a delay: closing
   * it while data still arrives would reset it, and the client would lose the answer.
   */
  private void rejectIncomplete(HttpServerRequest request, Problem problem) {
    request.pause();
    request.response().putHeader("Connection", "close");
    problem.write(request.response());
    vertx.setTimer(LINGER_MILLIS, timer -> request.connection().close());
  }

  private void submit(HttpServerRequest request, String function, Buffer body) throws Problem {
    PreferHeader preferences = PreferHeader.of(request.headers());
    try {
      Request call = toCall(request, function, body, preferences);
      if (!lifecycle.acceptsCalls(clock.now())) {
        throw new Problem(
            503,
            "this front end is leaving; not run, trying again does no harm",
            SHUTDOWN_RETRY_MILLIS);
      }
      Submission submission =
          invocations.submit(call, Integer.toString(call.tenant()), preferences.async());
      Invocation invocation = submission.invocation();
      if (!preferences.async()) {
        new PendingResponse(vertx, responder, request, invocation, false)
            .start(invocations, submission.joined() ? repeatWaitMillis(call) : 0);
      } else if (invocation.result() instanceof Result.Refused refused && refused.overloaded()) {
        responder.answer(request, refused);
      } else {
        poll(request, invocation, preferences.waitMillis());
      }
    } catch (InvalidField e) {
      throw new Problem(400, e.getMessage());
    } catch (KeyReused e) {
      throw new Problem(409, e.getMessage());
    }
  }

  /**
   * How long a repeat waits for an invocation that was accepted before it. Only the invocation of a
   * request itself ends by the time that its client gives up.
   */
  private static long repeatWaitMillis(Request call) {
    return Math.max(1, call.budget() / 1_000 - REPEAT_ANSWER_MARGIN_MILLIS);
  }

  /**
   * Converts a request into a call. The class, tenant and resource hints come from the headers
   * {@code Invoke-Class}, {@code Invoke-Tenant} and {@code Invoke-Figures}.
   */
  private Request toCall(
      HttpServerRequest request, String function, Buffer body, PreferHeader preferences)
      throws InvalidField {
    int callClass = names.classes().indexOf(header(request, "Invoke-Class"));
    if (callClass < 0) {
      throw new InvalidField("Invoke-Class must name a class: " + names.classes());
    }
    int tenant = names.tenants().indexOf(header(request, "Invoke-Tenant"));
    if (tenant < 0 && !names.tenants().isEmpty()) {
      throw new InvalidField("Invoke-Tenant must name a tenant");
    }
    long functionId = CallFields.hex("the function", function);
    Buffer key = CallFields.key(unquoted(request.getHeader("Idempotency-Key")));
    CallFields.requireKey(dispatchLoop.settings(), callClass, key);
    CallClass settings = dispatchLoop.settings().classes().get(callClass);
    long waitMicros = preferences.waitMillis() * 1_000;
    long budgetMicros =
        preferences.async() || waitMicros < 0
            ? settings.timeout()
            : Math.min(waitMicros, settings.timeout());
    return new Request(
        Buffer.buffer(String.format("%016x", random.nextLong())),
        callClass,
        Math.max(0, tenant),
        Buffer.buffer(function),
        functionId,
        key,
        budgetMicros,
        false,
        CallFields.resourceHints(request.getHeader("Invoke-Figures")),
        body);
  }

  /** The value of a header, or an empty string if it is absent. */
  private static String header(HttpServerRequest request, String name) {
    String value = request.getHeader(name);
    return value == null ? "" : value;
  }

  /**
   * Strips the quotes of a key sent as a structured header string; they are not part of the key.
   */
  private static String unquoted(String key) {
    boolean quoted = key != null && key.length() >= 2 && key.startsWith("\"") && key.endsWith("\"");
    return quoted ? key.substring(1, key.length() - 1) : key;
  }

  /** Answers a request for the result of a deferred call, or cancels the call on DELETE. */
  private void collectResult(HttpServerRequest request, String id) throws Problem {
    Invocation invocation = invocations.get(id);
    if (invocation == null) {
      throw new Problem(404, "no such invocation, or its result is no longer kept");
    }
    if (request.method().equals(HttpMethod.DELETE)) {
      invocations.cancel(invocation);
      request.response().setStatusCode(204).end();
    } else {
      poll(request, invocation, PreferHeader.of(request.headers()).waitMillis());
    }
  }

  /**
   * Answers with the result if it is available within the wait, otherwise with its location. A
   * deferred call submitted without a wait is always answered with the location.
   *
   * @param waitMillis 0 or less for no wait
   */
  private void poll(HttpServerRequest request, Invocation invocation, long waitMillis) {
    boolean collectsResult = request.method().equals(HttpMethod.GET);
    if (waitMillis <= 0 && (invocation.result() == null || !collectsResult)) {
      responder.answerAccepted(request, invocation);
    } else {
      new PendingResponse(vertx, responder, request, invocation, true)
          .start(invocations, Math.min(MAX_POLL_MILLIS, waitMillis));
    }
  }
}
