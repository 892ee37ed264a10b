package umberrun.front.rpc;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;

/** A message from a client. */
sealed interface RpcMessage {
  /**
   * A request that expects one response.
   *
   * @param id message id, unique among the open requests of its connection
   * @param method call class, or {@code heartbeat}
   * @param fields null if the parameters do not have the expected form
   * @param body null if it is too long
   */
  record Request(long id, String method, Map<String, String> fields, Buffer body)
      implements RpcMessage {}

  /**
   * A notification, which gets no response.
   *
   * @param ids the integers among its parameters
   */
  record Notification(String method, List<Long> ids) implements RpcMessage {}
}
