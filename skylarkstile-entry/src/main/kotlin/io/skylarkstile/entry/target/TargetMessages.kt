/*
 * Kinds of the messages about targets and loads.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.schema.generated.LoadAsk
import io.skylarkstile.schema.generated.LoadDone
import io.skylarkstile.schema.generated.LoadGrant
import io.skylarkstile.schema.generated.TargetState
import io.skylarkstile.transport.peer.MessageKind

internal val targetStateKind = MessageKind("TargetState", TargetState.serializer())
internal val loadAskKind = MessageKind("LoadAsk", LoadAsk.serializer())
internal val loadGrantKind = MessageKind("LoadGrant", LoadGrant.serializer())
internal val loadDoneKind = MessageKind("LoadDone", LoadDone.serializer())
