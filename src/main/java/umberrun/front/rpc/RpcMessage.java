package umberrun.front.rpc;

import io.vertx.core.buffer.Buffer;
import java.util.Map;

/** What a client sent on a connection. */
sealed interface RpcMessage {
  /**
   * A request; {@code fields} is null where the parameters are not of the right form, and {@code
   * body} is null where it is too long.
   */
  record Request(long id, String method, Map<String, String> fields, Buffer body)
      implements RpcMessage {}

  /** A notification; {@code ids} are the numbers among its parameters. */
  record Notification(String method, java.util.List<Long> ids) implements RpcMessage {}
}
